// libaniseline: the library for callers' and minions' programs. docs/api.md 4.
#pragma once
#include "edge/http.hpp"
#include "contacts.hpp"
#include "minion_hand.hpp"

namespace aniseline {

struct ClientError {
    enum class Kind { rejected, unknown, missing } kind = Kind::unknown;
    int status = 0;
    std::string text;
    Span retryAfter{0};
};

// Asks through any of several sluices; goes on to the next when one is silent or not able.
class Caller {
public:
    // With an area it learns the sluices in force, its own area's first; the ones given may all be replaced meanwhile.
    Caller(Loop& loop, std::vector<Address> sluices, std::optional<AreaName> area = std::nullopt) : client(loop), contacts(std::move(sluices), 0), area(std::move(area)) {}
    // One try at one sluice.
    Result<HttpAnswer, HttpError> once(const HttpRequest& request, Span within);
    // Tries until there is an answer other than `unknown`, or the time is over. Safe for every exchange: all are idempotent.
    Result<HttpAnswer, ClientError> ask(const HttpRequest& request, Span within);
    Result<HttpAnswer, ClientError> submit(const JobSubmission& job, Span within) { return ask({"POST", "/v1/jobs", renderJob(job)}, within); }
    Result<HttpAnswer, ClientError> cancel(const JobId& job, Span within) { return ask({"DELETE", "/v1/jobs/" + job.value, ""}, within); }
    Result<HttpAnswer, ClientError> show(const JobId& job, Span within) { return ask({"GET", "/v1/jobs/" + job.value, ""}, within); }
    std::function<void(const HttpRequest&, const Result<HttpAnswer, HttpError>&)> witness;

private:
    HttpClient client;
    void learn();
    ContactBook contacts;
    std::optional<AreaName> area;
    Instant learnedAt{-1'000'000};
};

// Keeps a minion in touch and drives its hand; the program connects its slots to the signals.
class MinionClient {
public:
    MinionClient(Loop& loop, MinionHand::Options options, Incarnation incarnation, std::vector<Address> sluices);
    boost::signals2::signal<void(const HandEffect&)> effect;
    boost::signals2::signal<void(Incarnation)> began;
    boost::signals2::signal<void(const Order&, EndingKind)> confirmed;
    boost::signals2::signal<void(const std::string&)> rejected;  // the centre's words, as when another process has this id
    void run(const std::atomic<bool>& stop);  // the syncing fiber
    void ended(AttemptNumber attempt, bool well);
    void leave(Span within);
    // A cut for tests of the library's users: while set nothing is sent.
    bool cut = false;
    const MinionHand& hand() const { return core; }

private:
    void deliver();
    Loop& loop;
    MinionHand core;
    ContactBook contacts;
    Draw draw;
};

}  // namespace aniseline
