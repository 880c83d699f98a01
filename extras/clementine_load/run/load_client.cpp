#include "clementine_load/run/load_client.h"

#include "clementine_core/random/random_source.h"
#include "clementine_load/decisions/answer_check.h"
#include "clementine_load/decisions/resend_policy.h"

#include <curl/curl.h>
#include <strings.h>

#include <algorithm>
#include <cstring>
#include <functional>
#include <memory>
#include <queue>

namespace clementine::load {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr long ConnectTimeoutMilliseconds = 1000;
constexpr long MaxCachedConnections = 4000;
constexpr std::size_t MaxAnswerBytes = std::size_t{1} << 20U;
constexpr milliseconds MaxPollInterval(20);
constexpr std::string_view OutcomeField = "clementine-outcome:";

long toMilliseconds(duration Span) {
  return static_cast<long>(
      std::max<std::int64_t>(1, duration_cast<milliseconds>(Span).count()));
}

/// One HTTP request in flight, with its libcurl handle.
class transfer {
public:
  transfer() : Easy(curl_easy_init()) {}

  ~transfer() {
    curl_easy_cleanup(Easy);
    curl_slist_free_all(Headers);
  }

  transfer(const transfer &) = delete;
  transfer &operator=(const transfer &) = delete;

  void prepare(const std::string &Url, const std::vector<std::string> &Lines,
               const std::string &Text, duration Timeout) {
    curl_easy_reset(Easy);
    curl_slist_free_all(Headers);
    Headers = nullptr;
    for (const std::string &Line : Lines)
      Headers = curl_slist_append(Headers, Line.c_str());
    Body.clear();
    Outcome.clear();
    UnsentBody = Text;
    curl_easy_setopt(Easy, CURLOPT_URL, Url.c_str());
    curl_easy_setopt(Easy, CURLOPT_HTTPHEADER, Headers);
    curl_easy_setopt(Easy, CURLOPT_PRIVATE, this);
    curl_easy_setopt(Easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(Easy, CURLOPT_PROXY, "");
    curl_easy_setopt(Easy, CURLOPT_TIMEOUT_MS, toMilliseconds(Timeout));
    curl_easy_setopt(Easy, CURLOPT_CONNECTTIMEOUT_MS,
                     ConnectTimeoutMilliseconds);
    curl_easy_setopt(Easy, CURLOPT_POST, 1L);
    curl_easy_setopt(Easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(Text.size()));
    // libcurl can't resend a body that can't be rewound, so that each send
    // transmits the request at most once.
    curl_easy_setopt(Easy, CURLOPT_READFUNCTION, &transfer::readBody);
    curl_easy_setopt(Easy, CURLOPT_READDATA, this);
    curl_easy_setopt(Easy, CURLOPT_SEEKFUNCTION, &transfer::refuseRewind);
    curl_easy_setopt(Easy, CURLOPT_WRITEFUNCTION, &transfer::appendBody);
    curl_easy_setopt(Easy, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(Easy, CURLOPT_HEADERFUNCTION, &transfer::parseHeader);
    curl_easy_setopt(Easy, CURLOPT_HEADERDATA, this);
  }

  received_answer answer() const {
    received_answer Answer;
    curl_easy_getinfo(Easy, CURLINFO_RESPONSE_CODE, &Answer.Status);
    Answer.Outcome = Outcome;
    Answer.Body = Body;
    return Answer;
  }

  bool wasSent() const {
    long Bytes = 0;
    curl_easy_getinfo(Easy, CURLINFO_REQUEST_SIZE, &Bytes);
    return Bytes > 0;
  }

  CURL *const Easy;
  std::size_t Request = 0;

private:
  static std::size_t readBody(char *Buffer, std::size_t Size, std::size_t Count,
                              void *User) {
    auto &Self = *static_cast<transfer *>(User);
    const std::size_t Length = std::min(Size * Count, Self.UnsentBody.size());
    std::memcpy(Buffer, Self.UnsentBody.data(), Length);
    Self.UnsentBody.remove_prefix(Length);
    return Length;
  }

  static int refuseRewind(void * /*User*/, curl_off_t /*Offset*/,
                          int /*Origin*/) {
    return CURL_SEEKFUNC_FAIL;
  }

  static std::size_t appendBody(char *Bytes, std::size_t Size,
                                std::size_t Count, void *User) {
    auto &Self = *static_cast<transfer *>(User);
    if (Self.Body.size() + Size * Count > MaxAnswerBytes)
      return 0;
    Self.Body.append(Bytes, Size * Count);
    return Size * Count;
  }

  static std::size_t parseHeader(char *Bytes, std::size_t Size,
                                 std::size_t Count, void *User) {
    auto &Self = *static_cast<transfer *>(User);
    const std::string_view Line(Bytes, Size * Count);
    if (Line.size() <= OutcomeField.size() ||
        ::strncasecmp(Line.data(), OutcomeField.data(), OutcomeField.size()) !=
            0)
      return Line.size();
    const std::size_t First = Line.find_first_not_of(' ', OutcomeField.size());
    const std::size_t Last = Line.find_last_not_of(" \r\n");
    if (First <= Last)
      Self.Outcome = Line.substr(First, Last - First + 1);
    return Line.size();
  }

  curl_slist *Headers = nullptr;
  std::string_view UnsentBody;
  std::string Body;
  std::string Outcome;
};

/// A send that is scheduled for later.
struct due_send {
  instant Due;
  std::size_t Request = 0;

  bool operator>(const due_send &Other) const { return Due > Other.Due; }
};

} // namespace

/// The state of one call of run().
class load_client::session {
public:
  session(const load_client &Client, instant Begin,
          const std::vector<arrival> &Arrivals)
      : Client(Client), Policy(Client.Scenario), Random(Client.Seed),
        Multi(curl_multi_init()) {
    curl_multi_setopt(Multi, CURLMOPT_MAXCONNECTS, MaxCachedConnections);
    Records.resize(Arrivals.size());
    for (std::size_t Index = 0; Index < Arrivals.size(); ++Index) {
      Records[Index].Nonce = request_id{Random.next(), Random.next()}.text();
      Records[Index].Stream = Arrivals[Index].Stream;
      Records[Index].Arrived = Begin + Arrivals[Index].Time;
      Waiting.push({Records[Index].Arrived, Index});
    }
  }

  ~session() {
    Idle.clear();
    curl_multi_cleanup(Multi);
  }

  session(const session &) = delete;
  session &operator=(const session &) = delete;

  std::vector<request_record> run() {
    while (!Waiting.empty() || !Active.empty()) {
      sendDue();
      int Running = 0;
      curl_multi_perform(Multi, &Running);
      collectFinished();
      waitForEvents();
    }
    return std::move(Records);
  }

private:
  static instant now() { return std::chrono::steady_clock::now(); }

  void sendDue() {
    while (!Waiting.empty() && Waiting.top().Due <= now()) {
      const std::size_t Request = Waiting.top().Request;
      Waiting.pop();
      send(Request);
    }
  }

  void send(std::size_t Index) {
    request_record &Record = Records[Index];
    const load_stream &Stream = Client.Scenario.Streams[Record.Stream];
    const instant Now = now();
    const duration Remaining =
        Record.Arrived + Client.Scenario.RequestTimeout - Now;
    if (Remaining <= duration(0)) {
      Record.Sends.push_back({Now, Now, send_outcome::Unsent});
      return;
    }
    const duration Timeout = std::min(Remaining, Client.Scenario.SendTimeout);
    auto Transfer = acquireTransfer();
    Transfer->Request = Index;
    const std::string &NodeUrl =
        Client.NodeUrls[Random.below(Client.NodeUrls.size())];
    Transfer->prepare(
        NodeUrl + "/call/" + Stream.Target.text(),
        {"Content-Type: application/octet-stream",
         "Expect:", "Clementine-Caller: " + Stream.Caller,
         "Idempotency-Key: " + Record.Nonce,
         "Clementine-Timeout-Ms: " + std::to_string(toMilliseconds(Remaining)),
         std::string("Clementine-Send: ") +
             (resend_policy::mayHaveRun(Record) ? "again" : "first")},
        Record.Nonce, Timeout);
    Record.Sends.push_back({Now, Now, send_outcome::Broken});
    curl_multi_add_handle(Multi, Transfer->Easy);
    Active.push_back(std::move(Transfer));
  }

  void collectFinished() {
    int Remaining = 0;
    while (const CURLMsg *Message = curl_multi_info_read(Multi, &Remaining)) {
      if (Message->msg != CURLMSG_DONE)
        continue;
      const CURLcode Code = Message->data.result;
      transfer *Done = nullptr;
      curl_easy_getinfo(Message->easy_handle, CURLINFO_PRIVATE, &Done);
      curl_multi_remove_handle(Multi, Done->Easy);
      finish(*Done, Code);
      releaseTransfer(Done);
    }
  }

  void finish(const transfer &Done, CURLcode Code) {
    request_record &Record = Records[Done.Request];
    send_record &Send = Record.Sends.back();
    Send.Ended = now();
    if (Code == CURLE_OK)
      Send.Outcome = classifyAnswer(
          Client.Deployment, Client.Scenario.Streams[Record.Stream].Target,
          Record.Nonce, Done.answer());
    else if (!Done.wasSent())
      Send.Outcome = send_outcome::Unsent;
    const auto Next = Policy.nextSendTime(Record, Send.Ended, Random);
    if (Next)
      Waiting.push({*Next, Done.Request});
  }

  void waitForEvents() {
    duration PollTimeout = MaxPollInterval;
    if (!Waiting.empty())
      PollTimeout = std::clamp<duration>(Waiting.top().Due - now(), duration(0),
                                         MaxPollInterval);
    // Rounded up, so that a wait below a millisecond isn't a busy loop.
    const auto Milliseconds = duration_cast<milliseconds>(
        PollTimeout + milliseconds(1) - duration(1));
    curl_multi_poll(Multi, nullptr, 0, static_cast<int>(Milliseconds.count()),
                    nullptr);
  }

  std::unique_ptr<transfer> acquireTransfer() {
    if (Idle.empty())
      return std::make_unique<transfer>();
    auto Transfer = std::move(Idle.back());
    Idle.pop_back();
    return Transfer;
  }

  void releaseTransfer(const transfer *Done) {
    const auto Found = std::find_if(
        Active.begin(), Active.end(),
        [Done](const auto &Transfer) { return Transfer.get() == Done; });
    Idle.push_back(std::move(*Found));
    *Found = std::move(Active.back());
    Active.pop_back();
  }

  const load_client &Client;
  const resend_policy Policy;
  seeded_random Random;
  CURLM *const Multi;
  std::vector<request_record> Records;
  std::priority_queue<due_send, std::vector<due_send>, std::greater<>> Waiting;
  std::vector<std::unique_ptr<transfer>> Active;
  std::vector<std::unique_ptr<transfer>> Idle;
};

load_client::load_client(const deployment &Deployment, const scenario &Scenario,
                         const std::vector<std::string> &NodeUrls,
                         std::uint64_t Seed)
    : Deployment(Deployment), Scenario(Scenario), NodeUrls(NodeUrls),
      Seed(Seed) {}

std::vector<request_record>
load_client::run(instant Begin, const std::vector<arrival> &Arrivals) {
  session Session(*this, Begin, Arrivals);
  return Session.run();
}

} // namespace clementine::load
