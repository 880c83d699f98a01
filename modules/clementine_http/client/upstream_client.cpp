#include "clementine_http/client/upstream_client.h"

#include "clementine_http/client/upstream_transfer.h"

#include <optional>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include <curl/curl.h>

namespace clementine {

namespace {

constexpr int LongestPollMilliseconds = 1000;
constexpr long CancelTimeoutMilliseconds = 500;

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
    auto Transfer = std::make_unique<upstream_transfer>(std::move(Command.Call),
                                                        *Address, Settings);
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
      auto &Transfer = *reinterpret_cast<upstream_transfer *>(Private);
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
  std::unordered_map<request_id, std::unique_ptr<upstream_transfer>,
                     request_id_hash>
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
