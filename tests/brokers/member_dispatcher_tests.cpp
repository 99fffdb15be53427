// Load patterns at the broker of one member: burst, hot account, handshake storm with more accounts than
// connections, and lost answers.

#include <criterion/criterion.h>

#include <algorithm>
#include <set>
#include <utility>

#include "brokers/member_dispatcher.h"
#include "virtual_clock.h"

using namespace std::chrono_literals;
using namespace greengagehitch;

namespace {

constexpr duration service_time = 20ms;
constexpr duration handshake_time = 12ms;

struct dispatcher_fixture {
    explicit dispatcher_fixture(std::size_t connection_limit = 8, bool is_paced_start = false)
    {
        member_dispatcher::options options;
        options.connection_limit = [connection_limit] { return connection_limit; };
        options.slots = 2;
        options.paces_recovery = is_paced_start;
        options.has_just_started = is_paced_start;
        dispatcher = std::make_shared<member_dispatcher>(core, connections, backend_connection_target{},
                                                         std::move(options));
    }

    kernel_hooks make_kernel_hooks()
    {
        kernel_hooks hooks;
        hooks.now = [this] { return clock.now(); };
        hooks.random = [] { return std::uint64_t{0}; };
        hooks.start_timer = [this](duration delay, std::function<void()> callback) {
            return clock.start_timer(delay, std::move(callback));
        };
        hooks.cancel_timer = [this](timer_id timer) { clock.cancel_timer(timer); };
        hooks.log = [this](log_record const& record) { logged.push_back(record); };
        return hooks;
    }

    /// Member that answers each command after `service_time`, or not at all while it loses answers.
    backend_connection_hooks make_connection_hooks()
    {
        backend_connection_hooks hooks;
        hooks.open = [this](backend_connection_target const&, backend_connection_events const& events) {
            auto const id = backend_connection_id{++opened};
            answered[id] = events.answered;
            if (answers_handshakes) {
                clock.start_timer(handshake_time, [events] { events.opened({}); });
            }
            return id;
        };
        hooks.send = [this](backend_connection_id id, std::vector<member_command> const& commands) {
            for (auto const& command : commands) {
                arrived.push_back({id, command});
            }
            if (loses_answer && loses_answer()) {
                return;
            }
            ++sent;
            most_in_flight = std::max(most_in_flight, ++in_flight);
            clock.start_timer(service_time, [this, id, commands] {
                --in_flight;
                for (std::size_t i = 0; i < commands.size(); ++i) {
                    member_answer answer;
                    answer.state = state_of_transactions;
                    answer.error = error;
                    if (refuses_values && commands[i].kind == command_kind::set_value) {
                        answer.error = member_error::malformed;
                    }
                    answer.proof =
                        has_proof(commands[i].kind) && !error ? std::to_string(++proofs) : std::string();
                    answered[id](std::move(answer));
                }
            });
        };
        hooks.close = [this](backend_connection_id id) { closed.insert(id); };
        return hooks;
    }

    struct arrival {
        backend_connection_id connection = backend_connection_id::none;
        member_command command;
    };

    struct outcome {
        std::size_t served = 0;
        std::size_t refused = 0;
        std::uint32_t longest_return_ms = 0;
    };

    void run(std::string const& account, duration queue_limit = 200ms, int priority = 0)
    {
        member_request request;
        request.client_account = account;
        request.commands.resize(1);
        request.time_limit_ms = 1'000;
        request.queue_limit_ms = static_cast<std::uint32_t>(queue_limit / 1ms);
        request.priority = priority;
        dispatcher->run(std::move(request), [this, account](member_reply const& reply) {
            auto& outcome = outcomes[account];
            auto const& answer = reply.answers.front();
            answer.is_ok() ? ++outcome.served : ++outcome.refused;
            outcome.longest_return_ms = std::max(outcome.longest_return_ms, answer.retry_after_ms);
        });
    }

    /// Begins a transaction and returns its connection, or null if it was not begun.
    pinned_connection_pointer begin(std::string const& account)
    {
        member_request request;
        request.client_account = account;
        request.commands.resize(1);
        request.commands.front().kind = command_kind::begin;
        request.time_limit_ms = 1'000;
        request.queue_limit_ms = 200;
        request.needs_slot = false;
        request.keeps_connection = true;
        auto const pinned = std::make_shared<pinned_connection_pointer>();
        state_of_transactions = error ? transaction_state::idle : transaction_state::open;
        dispatcher->run(std::move(request),
                        [pinned](member_reply const& reply) { *pinned = reply.connection; });
        clock.run_for(handshake_time + service_time + 1ms);
        state_of_transactions = transaction_state::idle;
        return std::exchange(*pinned, nullptr);
    }

    /// Returns how many commands with this id reached the member.
    std::size_t count_arrived(std::string const& id) const
    {
        return static_cast<std::size_t>(std::count_if(
            arrived.begin(), arrived.end(), [&id](arrival const& each) { return each.command.id == id; }));
    }

    standin::virtual_clock clock{1};
    kernel core{make_kernel_hooks()};
    backend_connection_hooks connections{make_connection_hooks()};
    std::uint64_t opened = 0;
    std::size_t sent = 0;   ///< Requests that the member answers.
    std::size_t proofs = 0; ///< Statements that the member has run.
    std::size_t in_flight = 0;
    std::size_t most_in_flight = 0;
    std::function<bool()> loses_answer;
    bool answers_handshakes = true;
    bool refuses_values = false; ///< Whether the member answers SET with an error.
    transaction_state state_of_transactions = transaction_state::idle; ///< State in all answers.
    std::optional<member_error> error;                                 ///< Error in all answers.
    std::vector<log_record> logged;
    std::vector<arrival> arrived; ///< Commands that reached the member.
    std::set<backend_connection_id> closed;
    std::map<backend_connection_id, std::function<void(member_answer)>> answered;
    std::map<std::string, outcome> outcomes;
    std::shared_ptr<member_dispatcher> dispatcher;
};

} // namespace

Test(member_dispatcher, burst_is_refused_in_part_and_told_to_return_in_turn)
{
    dispatcher_fixture fixture;
    for (int i = 0; i < 100; ++i) {
        fixture.run("hot");
    }
    cr_assert(fixture.outcomes["hot"].refused == 0, "refused before run() returned");
    fixture.clock.run_for(1ms);
    auto const at_once = fixture.outcomes["hot"].refused;
    fixture.clock.run_for(1s);
    auto const& outcome = fixture.outcomes["hot"];
    cr_assert(outcome.served + outcome.refused == 100);
    // Two slots and one request beyond them answer 150 requests a second.
    cr_assert(outcome.served >= 20 && outcome.served <= 40, "%zu served", outcome.served);
    cr_assert(at_once >= outcome.refused * 9 / 10, "%zu refused late", outcome.refused - at_once);
    cr_assert(outcome.longest_return_ms >= 300 && outcome.longest_return_ms <= 1'000);
}

Test(member_dispatcher, hot_account_does_not_starve_another)
{
    dispatcher_fixture fixture;
    for (int i = 0; i < 200; ++i) {
        for (int j = 0; j < 5; ++j) {
            fixture.run("hot");
        }
        if (i % 5 == 0) {
            fixture.run("other");
        }
        fixture.clock.run_for(5ms);
    }
    fixture.clock.run_for(1s);
    cr_assert(fixture.outcomes["other"].refused == 0, "%zu refused", fixture.outcomes["other"].refused);
    cr_assert(fixture.outcomes["hot"].served > 80);
}

Test(member_dispatcher, handshake_storm_does_not_hold_the_slots)
{
    dispatcher_fixture fixture(4);
    fixture.run("connected");
    fixture.clock.run_for(100ms);
    for (int i = 0; i < 20; ++i) {
        fixture.run("account " + std::to_string(i));
        fixture.run("connected", 400ms);
    }
    fixture.clock.run_for(1s);
    std::size_t served = 0;
    for (auto const& [account, outcome] : fixture.outcomes) {
        served += outcome.served;
    }
    cr_assert(fixture.outcomes["connected"].served >= 15, "%zu served", fixture.outcomes["connected"].served);
    cr_assert(served > fixture.outcomes["connected"].served + 3, "no other account was served");
}

Test(member_dispatcher, lost_answers_do_not_hold_the_slots)
{
    dispatcher_fixture fixture(100);
    std::size_t sent = 0;
    fixture.loses_answer = [&sent] { return ++sent % 3 != 0; };
    for (int i = 0; i < 100; ++i) {
        fixture.run("account");
        fixture.clock.run_for(20ms);
    }
    fixture.clock.run_for(2s);
    // One request in three is answered if all are sent.
    cr_assert(fixture.outcomes["account"].served >= 25, "%zu served", fixture.outcomes["account"].served);
}

Test(member_dispatcher, hundred_vms_that_see_a_member_start_send_it_one_request_first)
{
    dispatcher_fixture fixture(100, true);
    for (int i = 0; i < 100; ++i) {
        fixture.run("account " + std::to_string(i), 400ms);
    }
    fixture.clock.run_for(handshake_time + service_time - 1ms);
    cr_assert(fixture.sent == 1, "%zu sent before the first answer", fixture.sent);
    fixture.clock.run_for(150ms);
    cr_assert(fixture.sent >= 6, "%zu sent", fixture.sent);
    cr_assert(fixture.most_in_flight <= 3);
}

Test(member_dispatcher, member_that_answers_no_handshake_refuses_at_once)
{
    dispatcher_fixture fixture;
    fixture.answers_handshakes = false;
    fixture.run("first", 500ms);
    fixture.clock.run_for(200ms);
    for (int i = 0; i < 20; ++i) {
        fixture.run("later", 500ms);
    }
    fixture.clock.run_for(1ms);
    cr_assert(fixture.outcomes["later"].refused == 20, "%zu refused", fixture.outcomes["later"].refused);
}

/// Guards against a statement that runs outside its transaction, or in another one: its transaction was given
/// up while the statement waited for a slot, and its connection served others by then.
Test(member_dispatcher, statement_whose_transaction_was_given_up_while_it_waited_is_never_sent)
{
    dispatcher_fixture fixture;
    auto pinned = fixture.begin("account");
    cr_assert(pinned != nullptr);
    for (int i = 0; i < 6; ++i) {
        fixture.run("other");
    }
    fixture.clock.run_for(handshake_time + 1ms);
    member_request request;
    request.client_account = "account";
    request.commands.resize(1);
    request.commands.front().id = "late";
    request.time_limit_ms = 1'000;
    request.queue_limit_ms = 500;
    request.keeps_connection = true;
    std::optional<member_error> error;
    pinned->send(std::move(request),
                 [&error](member_reply const& reply) { error = reply.answers.front().error; });
    cr_assert(fixture.count_arrived("late") == 0, "the statement did not have to wait");
    pinned.reset();
    fixture.clock.run_for(1s);
    cr_assert(fixture.count_arrived("late") == 0);
    cr_assert(error == member_error::connection_lost);
}

/// Guards against PINNED: the value of a session was refused by the member, which ran the statement behind it
/// without the value, and the caller received a success.
Test(member_dispatcher, statement_that_ran_without_its_session_values_is_no_success)
{
    dispatcher_fixture fixture;
    fixture.refuses_values = true;
    member_request request;
    request.client_account = "a";
    request.values = {{"mode", ""}};
    request.commands.resize(1);
    request.time_limit_ms = 1'000;
    request.queue_limit_ms = 200;
    std::optional<member_reply> received;
    fixture.dispatcher->run(std::move(request),
                            [&received](member_reply reply) { received = std::move(reply); });
    fixture.clock.run_for(500ms);
    cr_assert(received.has_value());
    cr_assert(not(received->answers.back().is_ok()));
}

/// Guards against a log that has no room for other lines: each error that equalled an earlier one of its
/// connection had a line of its own, and healthy members give the same error to many callers.
Test(member_dispatcher, equal_errors_of_a_healthy_member_are_logged_once_a_second)
{
    constexpr std::size_t seconds = 5;
    constexpr std::size_t begins_per_second = 20;
    dispatcher_fixture fixture;
    fixture.error = member_error::read_only;
    for (std::size_t i = 0; i < seconds * begins_per_second; ++i) {
        cr_assert(fixture.begin("account") == nullptr);
        fixture.clock.run_for(duration(1s) / begins_per_second - handshake_time - service_time - 1ms);
    }
    fixture.clock.run_for(1s);
    auto const doubtful =
        fixture.dispatcher->unmatched_answers().at(static_cast<std::size_t>(answer_match::doubtful));
    cr_assert(doubtful > 2 * seconds, "%zu doubtful answers", doubtful);
    std::size_t lines = 0;
    std::size_t counted = 0;
    for (auto const& record : fixture.logged) {
        if (record.service != "members") {
            continue;
        }
        ++lines;
        for (auto const* const use : {"accepted", "sent_again", "outcome_unknown"}) {
            counted += record.fields[use].asUInt64();
        }
    }
    cr_assert(lines <= seconds + 1, "%zu lines for %zu answers", lines, doubtful);
    cr_assert(counted == doubtful, "%zu of %zu answers are in the lines", counted, doubtful);
}
