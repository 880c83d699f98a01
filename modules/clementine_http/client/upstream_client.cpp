#include "clementine_http/client/upstream_client.h"

#include "clementine_core/http/response_line_check.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cstring>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include <curl/curl.h>

namespace clementine {

namespace {

constexpr int LongestPollMilliseconds = 1000;
constexpr long CancelTimeoutMilliseconds = 500;
constexpr std::uint16_t StatusUnavailable = 503;
constexpr std::string_view OutcomeHeader = "clementine-outcome";
constexpr std::string_view NotRunOutcome = "not-run";

struct call_command {
  upstream_call Call;
};
struct cancel_command {
  request_id Token;
};
struct address_command {
  endpoint Address;
};
using command = std::variant<call_command, cancel_command, address_command>;

struct list_deleter {
  void operator()(curl_slist *List) const { curl_slist_free_all(List); }
};
struct easy_deleter {
  void operator()(CURL *Easy) const { curl_easy_cleanup(Easy); }
};

std::string lowerCase(std::string_view Text) {
  std::string Lower(Text);
  std::transform(Lower.begin(), Lower.end(), Lower.begin(),
                 [](unsigned char Letter) { return std::tolower(Letter); });
  return Lower;
}

std::string_view trimmed(std::string_view Text) {
  constexpr std::string_view Whitespace = " \t\r\n";
  const auto Begin = Text.find_first_not_of(Whitespace);
  if (Begin == std::string_view::npos)
    return {};
  return Text.substr(Begin, Text.find_last_not_of(Whitespace) - Begin + 1);
}

/// @returns whether a header field applies to one connection only (RFC 9110,
/// section 7.6.1) or is written by this hop itself.
bool isHopByHop(std::string_view LowerName) {
  static constexpr std::array<std::string_view, 7> Names = {
      "connection", "keep-alive", "transfer-encoding", "content-length",
      "date",       "upgrade",    "proxy-connection"};
  return std::find(Names.begin(), Names.end(), LowerName) != Names.end();
}

/// One call from its start to its result. The libcurl handle points into it, so
/// it must not move.
class transfer {
public:
  transfer(upstream_call Call, const endpoint &Address,
           const upstream_client_settings &Settings)
      : Call(std::move(Call)), Easy(curl_easy_init()) {
    addHeaders();
    const std::string Url =
        "http://" + Address.text() + "/" + this->Call.Operation;
    const std::string &Method = this->Call.Payload.Method;
    CURL *Handle = Easy.get();
    curl_easy_setopt(Handle, CURLOPT_URL, Url.c_str());
    curl_easy_setopt(Handle, CURLOPT_CUSTOMREQUEST, Method.c_str());
    if (Method == "HEAD")
      curl_easy_setopt(Handle, CURLOPT_NOBODY, 1L);
    if (!this->Call.Payload.Body.empty() || Method == "POST")
      setBody();
    curl_easy_setopt(Handle, CURLOPT_HTTPHEADER, Headers.get());
    curl_easy_setopt(Handle, CURLOPT_PROXY, "");
    curl_easy_setopt(Handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(Handle, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(Handle, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(Settings.ConnectTimeout.count()));
    curl_easy_setopt(Handle, CURLOPT_TIMEOUT_MS, timeoutMilliseconds());
    curl_easy_setopt(Handle, CURLOPT_MAXAGE_CONN,
                     static_cast<long>(Settings.LongestIdle.count()));
    curl_easy_setopt(Handle, CURLOPT_PREREQFUNCTION, &transfer::begin);
    curl_easy_setopt(Handle, CURLOPT_PREREQDATA, this);
    curl_easy_setopt(Handle, CURLOPT_HEADERFUNCTION, &transfer::receiveHeader);
    curl_easy_setopt(Handle, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(Handle, CURLOPT_WRITEFUNCTION, &transfer::receiveBody);
    curl_easy_setopt(Handle, CURLOPT_WRITEDATA, this);
  }

  transfer(const transfer &) = delete;
  transfer &operator=(const transfer &) = delete;

  CURL *handle() const { return Easy.get(); }
  const request_id &token() const { return Call.Token; }

  upstream_result resultOf(CURLcode Code) {
    upstream_result Result;
    Result.Token = Call.Token;
    if (SendAttempts == 0) {
      Result.End = upstream_outcome::NotSent;
      return Result;
    }
    if (Code != CURLE_OK || TooLarge || !isFramed())
      return Result;
    if (Answer.Status == StatusUnavailable && IsMarkedNotRun) {
      Result.End = upstream_outcome::Refused;
      return Result;
    }
    Result.End = upstream_outcome::Answered;
    Result.Answer = std::move(Answer);
    return Result;
  }

private:
  void addHeader(const std::string &Line) {
    Headers.reset(curl_slist_append(Headers.release(), Line.c_str()));
  }

  void addHeaders() {
    for (const header_field &Header : Call.Payload.Headers)
      addHeader(Header.Name + ": " + Header.Value);
    const request_context &Context = Call.Context;
    addHeader("Clementine-Request: " + Call.Token.text());
    addHeader("Idempotency-Key: " + Context.Key);
    addHeader("Clementine-Timeout-Ms: " +
              std::to_string(Context.RemainingMicroseconds / 1000));
    addHeader("Clementine-Importance: " +
              std::string(importanceName(Context.Importance)));
    if (!Context.TraceParent.empty())
      addHeader("traceparent: " + Context.TraceParent);
    // Without this, libcurl waits for a 100 Continue, which few servers send.
    addHeader("Expect:");
  }

  void setBody() {
    CURL *Handle = Easy.get();
    const std::string &Body = Call.Payload.Body;
    curl_easy_setopt(Handle, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(Body.size()));
    curl_easy_setopt(Handle, CURLOPT_POSTFIELDS, Body.data());
  }

  long timeoutMilliseconds() const {
    const auto Whole =
        std::chrono::ceil<std::chrono::milliseconds>(Call.Timeout);
    return std::max<long>(1, static_cast<long>(Whole.count()));
  }

  /// Called by libcurl each time it is about to send the request. Allows only
  /// the first attempt.
  static int begin(void *Self, char *, char *, int, int) {
    auto &Transfer = *static_cast<transfer *>(Self);
    ++Transfer.SendAttempts;
    return Transfer.SendAttempts == 1 ? CURL_PREREQFUNC_OK
                                      : CURL_PREREQFUNC_ABORT;
  }

  static std::size_t receiveHeader(char *Data, std::size_t Size,
                                   std::size_t Count, void *Self) {
    const std::string_view Line(Data, Size * Count);
    return static_cast<transfer *>(Self)->acceptLine(Line) ? Line.size() : 0;
  }

  /// Accepts a line of a head or a trailer.
  /// @returns false, which ends the call, for a line that is none of an answer.
  bool acceptLine(std::string_view Line) {
    long Status = 0;
    curl_easy_getinfo(Easy.get(), CURLINFO_RESPONSE_CODE, &Status);
    switch (LineCheck.next(Line, static_cast<unsigned>(Status))) {
    case response_line::Status:
      Answer = {};
      Answer.Status = static_cast<std::uint16_t>(Status);
      Length.clear();
      IsChunked = IsMarkedNotRun = false;
      return true;
    case response_line::Field:
      return acceptField(Line);
    case response_line::End:
      return true;
    case response_line::Invalid:
      break;
    }
    return false;
  }

  bool acceptField(std::string_view Line) {
    const auto Colon = Line.find(':');
    const std::string Name(Line.substr(0, Colon));
    const std::string Value(trimmed(Line.substr(Colon + 1)));
    const std::string Lower = lowerCase(Name);
    if (Lower == "content-length") {
      if (!Length.empty() && Length != Value)
        return false;
      Length = Value;
    }
    IsChunked =
        IsChunked || (Lower == "transfer-encoding" &&
                      lowerCase(Value).find("chunked") != std::string::npos);
    IsMarkedNotRun = IsMarkedNotRun || (Lower == OutcomeHeader &&
                                        lowerCase(Value) == NotRunOutcome);
    if (!isHopByHop(Lower) && !Lower.starts_with("clementine-"))
      Answer.Headers.push_back({Name, Value});
    return true;
  }

  static std::size_t receiveBody(char *Data, std::size_t Size,
                                 std::size_t Count, void *Self) {
    auto &Transfer = *static_cast<transfer *>(Self);
    const std::size_t Bytes = Size * Count;
    if (Transfer.Answer.Body.size() + Bytes > LargestAnswerBody) {
      Transfer.TooLarge = true;
      return 0;
    }
    Transfer.Answer.Body.append(Data, Bytes);
    return Bytes;
  }

  bool isFramed() const {
    constexpr std::uint16_t NoContent = 204;
    constexpr std::uint16_t NotModified = 304;
    return !Length.empty() || IsChunked || Call.Payload.Method == "HEAD" ||
           Answer.Status == NoContent || Answer.Status == NotModified;
  }

  static constexpr std::size_t LargestAnswerBody = std::size_t{1} << 20U;

  const upstream_call Call;
  std::unique_ptr<CURL, easy_deleter> Easy;
  std::unique_ptr<curl_slist, list_deleter> Headers;
  http_answer Answer;
  unsigned SendAttempts = 0;
  response_line_check LineCheck;
  /// The value of `Content-Length`; empty without that field.
  std::string Length;
  bool IsChunked = false;
  bool IsMarkedNotRun = false;
  bool TooLarge = false;
};

std::size_t discardBody(char *, std::size_t Size, std::size_t Count, void *) {
  return Size * Count;
}

} // namespace

/// Sends the calls on the client's thread; push() may be called on any thread.
class upstream_client::implementation {
public:
  implementation(upstream_client_settings Settings, upstream_listener &Listener)
      : Settings(Settings), Listener(Listener), Multi(curl_multi_init()),
        Commands(Settings.CommandCapacity,
                 [this] { curl_multi_wakeup(Multi); }),
        Task(
            "upstream",
            [this](const std::atomic<bool> &Stopping) { run(Stopping); },
            [this] { curl_multi_wakeup(Multi); }, {}) {
    curl_multi_setopt(Multi, CURLMOPT_MAX_TOTAL_CONNECTIONS,
                      static_cast<long>(Settings.MostConnections));
    curl_multi_setopt(Multi, CURLMOPT_MAXCONNECTS,
                      static_cast<long>(Settings.MostConnections));
  }

  ~implementation() {
    stop();
    for (auto &[Token, Transfer] : Transfers)
      curl_multi_remove_handle(Multi, Transfer->handle());
    for (CURL *Cancel : Cancels)
      releaseCancel(Cancel);
    curl_multi_cleanup(Multi);
  }

  implementation(const implementation &) = delete;
  implementation &operator=(const implementation &) = delete;

  void start() { Task.start(); }

  void stop() {
    Commands.close();
    Task.stop();
  }

  const std::string &name() const { return Task.name(); }

  void push(command Command) { Commands.push(std::move(Command)); }

private:
  void run(const std::atomic<bool> &Stopping) {
    while (!Stopping) {
      for (command &Command : Commands.takeAll(duration::zero()))
        std::visit([this](auto &Kind) { execute(Kind); }, Command);
      int Running = 0;
      curl_multi_perform(Multi, &Running);
      processCompletedTransfers();
      curl_multi_poll(Multi, nullptr, 0, LongestPollMilliseconds, nullptr);
    }
  }

  void execute(call_command &Command) {
    const request_id Token = Command.Call.Token;
    if (!Address) {
      Listener.upstreamCallEnded({Token, upstream_outcome::NotSent, {}});
      return;
    }
    auto Transfer =
        std::make_unique<transfer>(std::move(Command.Call), *Address, Settings);
    curl_easy_setopt(Transfer->handle(), CURLOPT_PRIVATE, Transfer.get());
    curl_multi_add_handle(Multi, Transfer->handle());
    Transfers[Token] = std::move(Transfer);
  }

  void execute(const cancel_command &Command) {
    const auto Found = Transfers.find(Command.Token);
    if (Found == Transfers.end())
      return;
    curl_multi_remove_handle(Multi, Found->second->handle());
    upstream_result Result = Found->second->resultOf(CURLE_ABORTED_BY_CALLBACK);
    Transfers.erase(Found);
    if (Result.End == upstream_outcome::Broken)
      sendCancel(Command.Token);
    Listener.upstreamCallEnded(std::move(Result));
  }

  void execute(const address_command &Command) { Address = Command.Address; }

  /// Notifies the upstream that the call was cancelled. Its response is
  /// ignored.
  void sendCancel(const request_id &Token) {
    CURL *Cancel = curl_easy_init();
    const std::string Url =
        "http://" + Address->text() + "/clementine/cancel/" + Token.text();
    curl_easy_setopt(Cancel, CURLOPT_URL, Url.c_str());
    curl_easy_setopt(Cancel, CURLOPT_PROXY, "");
    curl_easy_setopt(Cancel, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(Cancel, CURLOPT_POSTFIELDS, "");
    curl_easy_setopt(Cancel, CURLOPT_TIMEOUT_MS, CancelTimeoutMilliseconds);
    curl_easy_setopt(Cancel, CURLOPT_WRITEFUNCTION, &discardBody);
    curl_easy_setopt(Cancel, CURLOPT_PRIVATE, nullptr);
    curl_multi_add_handle(Multi, Cancel);
    Cancels.push_back(Cancel);
  }

  void releaseCancel(CURL *Cancel) {
    curl_multi_remove_handle(Multi, Cancel);
    curl_easy_cleanup(Cancel);
  }

  void processCompletedTransfers() {
    int Left = 0;
    while (const CURLMsg *Message = curl_multi_info_read(Multi, &Left)) {
      if (Message->msg != CURLMSG_DONE)
        continue;
      CURL *Handle = Message->easy_handle;
      const CURLcode Code = Message->data.result;
      char *Private = nullptr;
      curl_easy_getinfo(Handle, CURLINFO_PRIVATE, &Private);
      if (Private == nullptr) {
        releaseCancel(Handle);
        std::erase(Cancels, Handle);
        continue;
      }
      auto &Transfer = *reinterpret_cast<transfer *>(Private);
      curl_multi_remove_handle(Multi, Handle);
      upstream_result Result = Transfer.resultOf(Code);
      Transfers.erase(Result.Token);
      Listener.upstreamCallEnded(std::move(Result));
    }
  }

  const upstream_client_settings Settings;
  upstream_listener &Listener;
  CURLM *Multi;
  bounded_ring<command> Commands;
  std::optional<endpoint> Address;
  std::unordered_map<request_id, std::unique_ptr<transfer>, request_id_hash>
      Transfers;
  std::vector<CURL *> Cancels;
  supervised_task Task;
};

upstream_client::upstream_client(upstream_client_settings Settings,
                                 upstream_listener &Listener)
    : Implementation(std::make_unique<implementation>(Settings, Listener)) {}

upstream_client::~upstream_client() = default;

const std::string &upstream_client::name() const {
  return Implementation->name();
}

void upstream_client::start() { Implementation->start(); }

void upstream_client::stop() { Implementation->stop(); }

void upstream_client::setUpstream(const endpoint &Address) {
  Implementation->push(address_command{Address});
}

void upstream_client::callUpstream(upstream_call Call) {
  Implementation->push(call_command{std::move(Call)});
}

void upstream_client::cancelUpstream(const request_id &Token) {
  Implementation->push(cancel_command{Token});
}

} // namespace clementine
