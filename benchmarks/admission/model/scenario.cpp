#include "scenario.h"

#include "clementine_core/random/random_source.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <queue>
#include <unordered_map>
#include <vector>

namespace clementine {

namespace {

constexpr double BucketSeconds = 0.25;
constexpr double RecoveredShare = 0.95;

struct client_request {
  std::uint64_t Id = 0;
  importance Importance = importance::Low;
  double GiveUpAt = 0;
  unsigned Attempts = 0;
  bool InSurge = false;
  bool Done = false;
};

struct attempt {
  std::size_t Request = 0;
  double StartedAt = 0;
  double SubCallSeconds = 0;
  bool Abandoned = false;
};

enum class event_kind : std::uint8_t {
  Arrival,
  Send,
  Finish,
  AttemptTimeout,
  Expire,
};

struct event {
  double At = 0;
  std::uint64_t Order = 0;
  event_kind Kind = event_kind::Arrival;
  /// A request for Send, else an attempt.
  std::uint64_t Subject = 0;
};

struct is_later {
  bool operator()(const event &Left, const event &Right) const {
    return std::tie(Left.At, Left.Order) > std::tie(Right.At, Right.Order);
  }
};

instant at(double Seconds) {
  return instant(duration(static_cast<duration::rep>(Seconds * 1e9)));
}

duration span(double Seconds) { return at(Seconds).time_since_epoch(); }

/// One gate, its upstream and the clients, driven by a queue of events.
class simulation {
public:
  simulation(const scenario &Scenario, const variant &Variant,
             std::uint64_t Seed)
      : Scenario(Scenario), Variant(Variant), Random(Seed),
        Gate(Variant.Gate, Variant.Limiter(Scenario)) {}

  run_report run() {
    schedule(0, event_kind::Arrival, 0);
    while (!Events.empty() && Events.top().At < Scenario.End) {
      const event Next = Events.top();
      Events.pop();
      Now = Next.At;
      handle(Next);
    }
    return report();
  }

private:
  void handle(const event &Next) {
    switch (Next.Kind) {
    case event_kind::Arrival:
      return arrive();
    case event_kind::Send:
      return send(Next.Subject);
    case event_kind::Finish:
      return finish(Next.Subject);
    case event_kind::AttemptTimeout:
      return timeOut(Next.Subject);
    case event_kind::Expire:
      return act(Gate.expire(at(Now)));
    }
  }

  void arrive() {
    const double Load = isSurge() ? Scenario.Surge : Scenario.BaseLoad;
    const double Gap = -std::log(1.0 - Random.unit()) / (Load * capacity());
    schedule(Now + Gap, event_kind::Arrival, 0);

    client_request Request;
    Request.Id = Random.next();
    Request.Importance = drawImportance();
    Request.GiveUpAt = Now + Scenario.RequestTimeoutSeconds;
    Request.InSurge = isSurge();
    if (Request.InSurge)
      ++Report.Offered.at(static_cast<std::size_t>(Request.Importance));
    Requests.push_back(Request);
    send(Requests.size() - 1);
  }

  void send(std::size_t Index) {
    client_request &Request = Requests[Index];
    if (Now >= Request.GiveUpAt || Request.Attempts >= Scenario.MaxAttempts)
      return;
    ++Request.Attempts;
    const std::uint64_t Id = ++LastAttempt;
    Attempts[Id] = {Index};
    const double Deadline =
        std::min(Now + Scenario.AttemptTimeoutSeconds, Request.GiveUpAt);
    const admission_ticket Ticket{
        {0, Id}, Request.Importance, mixBits(Request.Id), 0, at(Deadline)};
    const offer_decision Decision = Gate.offer(Ticket, at(Now));
    countInversions(Ticket, Decision);
    if (Decision.Verdict == offer_verdict::Refused)
      refused(Id);
    else
      schedule(Deadline, event_kind::AttemptTimeout, Id);
    if (Decision.Verdict == offer_verdict::Admitted)
      start(Id);
    act(Decision.Others);
  }

  void countInversions(const admission_ticket &Ticket,
                       const offer_decision &Decision) {
    if (Decision.Verdict != offer_verdict::Refused)
      Report.PriorityInversions += Ticket.Importance > RefusedForLoad ? 1 : 0;
    else if (Decision.Reason == refusal_reason::QueueFull ||
             Decision.Reason == refusal_reason::BelowLevel)
      RefusedForLoad = std::min(RefusedForLoad, Ticket.Importance);
    for (const refused_ticket &Refused : Decision.Others.Refused)
      if (Refused.Reason == refusal_reason::Displaced)
        RefusedForLoad = std::min(RefusedForLoad, Refused.Ticket.Importance);
  }

  void act(const gate_actions &Actions) {
    if (Gate.queued() == 0 && Gate.running() < Gate.limit())
      RefusedForLoad = importance::Low;
    for (const admission_ticket &Ticket : Actions.Started)
      start(Ticket.RequestId.Low);
    for (const refused_ticket &Refused : Actions.Refused)
      refused(Refused.Ticket.RequestId.Low);
    const auto Wake = Gate.nextWake();
    if (!Wake)
      return;
    // A node's timer is no finer than this either.
    constexpr double TimerStep = 0.0005;
    const double WakeAt =
        std::max(Now,
                 static_cast<double>(Wake->time_since_epoch().count()) / 1e9) +
        TimerStep;
    if (NextExpiry > Now && NextExpiry <= WakeAt + TimerStep)
      return;
    NextExpiry = WakeAt;
    schedule(WakeAt, event_kind::Expire, 0);
  }

  void refused(std::uint64_t Id) {
    const std::size_t Request = Attempts.at(Id).Request;
    Attempts.erase(Id);
    schedule(Now + Scenario.RetryDelaySeconds, event_kind::Send, Request);
  }

  void start(std::uint64_t Id) {
    attempt &Started = Attempts.at(Id);
    Started.StartedAt = Now;
    ++AtUpstream;
    if (AtUpstream > Scenario.Connections) {
      --AtUpstream;
      const std::size_t Request = Started.Request;
      Attempts.erase(Id);
      act(Gate.complete({0, Id}, {work_outcome::Shed, duration(0)}, at(Now)));
      schedule(Now + Scenario.RetryDelaySeconds, event_kind::Send, Request);
      return;
    }
    Waiting.push_back(Id);
    serve();
  }

  void serve() {
    while (BusySlots < Scenario.Slots && !Waiting.empty()) {
      const std::uint64_t Id = Waiting.front();
      Waiting.pop_front();
      ++BusySlots;
      attempt &Served = Attempts.at(Id);
      const bool Slow = Now >= Scenario.SlowStart && Now < Scenario.SlowEnd;
      Served.SubCallSeconds = -std::log(1.0 - Random.unit()) *
                              Scenario.SubCallSeconds *
                              (Slow ? Scenario.SubCallSlowness : 1.0);
      const double Own = logNormal() * (Slow ? Scenario.ServiceSlowness : 1.0);
      const double Taken = Own + Served.SubCallSeconds;
      BusySeconds += isSurge() ? Taken : 0;
      Served.StartedAt = Now;
      schedule(Now + Taken, event_kind::Finish, Id);
    }
  }

  void finish(std::uint64_t Id) {
    const attempt Finished = Attempts.at(Id);
    Attempts.erase(Id);
    --BusySlots;
    --AtUpstream;
    client_request &Request = Requests[Finished.Request];
    if (!Finished.Abandoned && !Request.Done)
      complete(Request);
    else if (isSurge())
      WastedSeconds += Now - Finished.StartedAt;
    serve();
    const double ReportedSeconds =
        Variant.ReportsSubCalls ? Finished.SubCallSeconds : 0;
    LimitSum += static_cast<double>(std::min<std::size_t>(Gate.limit(), 9999));
    ++LimitCount;
    act(Gate.complete({0, Id}, {work_outcome::Completed, span(ReportedSeconds)},
                      at(Now)));
  }

  void complete(client_request &Request) {
    Request.Done = true;
    if (Request.InSurge)
      ++Report.Completed.at(static_cast<std::size_t>(Request.Importance));
    const auto Bucket = static_cast<std::size_t>(Now / BucketSeconds);
    if (Bucket >= CompletedInBucket.size())
      CompletedInBucket.resize(Bucket + 1);
    ++CompletedInBucket[Bucket];
  }

  void timeOut(std::uint64_t Id) {
    const auto Found = Attempts.find(Id);
    if (Found == Attempts.end())
      return;
    const std::size_t Request = Found->second.Request;
    // An attempt that has started keeps running at the upstream after the
    // client has timed out.
    if (Gate.cancel({0, Id}) == cancel_result::Removed)
      Attempts.erase(Found);
    else
      Found->second.Abandoned = true;
    send(Request);
  }

  run_report report() const {
    run_report Result = Report;
    const double SurgeSeconds = Scenario.SurgeEnd - Scenario.SurgeStart;
    Result.Goodput = completedBetween(Scenario.SurgeStart, Scenario.SurgeEnd) /
                     (capacity() * SurgeSeconds);
    Result.Wasted = BusySeconds > 0 ? WastedSeconds / BusySeconds : 0;
    Result.MeanLimit =
        LimitCount > 0 ? LimitSum / static_cast<double>(LimitCount) : 0;
    measureRecovery(Result);
    return Result;
  }

  void measureRecovery(run_report &Result) const {
    // A window of one second keeps the Poisson noise small.
    constexpr double Width = 1.0;
    const double Before = Width * completedBetween(1.0, Scenario.SurgeStart) /
                          (Scenario.SurgeStart - 1.0);
    Result.Recovery = -1;
    Result.LowestAfter = 1;
    for (double From = Scenario.SurgeEnd; From + Width < Scenario.End;
         From += BucketSeconds) {
      const double Share = completedBetween(From, From + Width) / Before;
      if (Result.Recovery < 0 && Share < RecoveredShare)
        continue;
      if (Result.Recovery < 0)
        Result.Recovery = From - Scenario.SurgeEnd;
      Result.LowestAfter = std::min(Result.LowestAfter, Share);
    }
  }

  double completedBetween(double From, double To) const {
    double Sum = 0;
    const auto Last = static_cast<std::size_t>(To / BucketSeconds);
    for (auto Bucket = static_cast<std::size_t>(From / BucketSeconds);
         Bucket < Last && Bucket < CompletedInBucket.size(); ++Bucket)
      Sum += static_cast<double>(CompletedInBucket[Bucket]);
    return Sum;
  }

  bool isSurge() const {
    return Now >= Scenario.SurgeStart && Now < Scenario.SurgeEnd;
  }

  double capacity() const {
    return static_cast<double>(Scenario.Slots) /
           (Scenario.ServiceSeconds + Scenario.SubCallSeconds);
  }

  importance drawImportance() {
    double Draw = Random.unit();
    for (std::size_t Level = 0; Level + 1 < ImportanceLevels; ++Level) {
      if (Draw < Scenario.Mix.at(Level))
        return static_cast<importance>(Level);
      Draw -= Scenario.Mix.at(Level);
    }
    return importance::Low;
  }

  double logNormal() {
    constexpr double Pi = 3.14159265358979323846;
    const double Normal = std::sqrt(-2.0 * std::log(1.0 - Random.unit())) *
                          std::cos(2.0 * Pi * Random.unit());
    const double Sigma = Scenario.Sigma;
    return Scenario.ServiceSeconds *
           std::exp(Sigma * Normal - Sigma * Sigma / 2.0);
  }

  void schedule(double When, event_kind Kind, std::uint64_t Subject) {
    Events.push({When, ++LastOrder, Kind, Subject});
  }

  const scenario Scenario;
  const variant Variant;
  seeded_random Random;
  admission_gate Gate;
  double Now = 0;
  double NextExpiry = -1;
  std::priority_queue<event, std::vector<event>, is_later> Events;
  std::uint64_t LastOrder = 0;
  std::uint64_t LastAttempt = 0;
  std::vector<client_request> Requests;
  std::unordered_map<std::uint64_t, attempt> Attempts;
  std::deque<std::uint64_t> Waiting;
  std::size_t BusySlots = 0;
  std::size_t AtUpstream = 0;
  double BusySeconds = 0;
  double WastedSeconds = 0;
  double LimitSum = 0;
  std::size_t LimitCount = 0;
  std::vector<std::size_t> CompletedInBucket;
  importance RefusedForLoad = importance::Low;
  run_report Report;
};

} // namespace

run_report runScenario(const scenario &Scenario, const variant &Variant,
                       std::uint64_t Seed) {
  return simulation(Scenario, Variant, Seed).run();
}

} // namespace clementine
