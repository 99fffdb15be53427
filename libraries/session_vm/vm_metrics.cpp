#include "session_vm/vm_metrics.h"

#include <utility>

#include <fmt/format.h>

#include "base/utf8.h"
#include "session_vm/session_vm.h"

namespace greengagehitch {

namespace {

/// Returns a text as the value of a label in the text format of metrics, which is UTF-8.
std::string escape_label(std::string_view text)
{
    std::string escaped;
    for (auto const character : replace_invalid_utf8(text)) {
        if (character == '\n') {
            escaped += "\\n";
            continue;
        }
        if (character == '"' || character == '\\') {
            escaped += '\\';
        }
        escaped += character;
    }
    return escaped;
}

std::string render_counters(session_engine& sessions)
{
    auto const& counters = sessions.counters();
    auto text = fmt::format("greengagehitch_sessions {}\n", sessions.size());
    text += fmt::format("greengagehitch_sessions_opened_total {}\n", counters.opened);
    text += fmt::format("greengagehitch_statements_total {}\n", counters.statements);
    text += fmt::format("greengagehitch_statements_answered_total {}\n", counters.answered);
    for (std::size_t i = 0; i < session_error_names.size(); ++i) {
        text += fmt::format("greengagehitch_statements_refused_total{{error=\"{}\"}} {}\n",
                            session_error_names[i].name, counters.refused[i]);
    }
    for (std::size_t i = 0; i < session_end_names.size(); ++i) {
        text += fmt::format("greengagehitch_statements_unanswered_total{{end=\"{}\"}} {}\n",
                            session_end_names[i].name, counters.unanswered[i]);
    }
    text += fmt::format("greengagehitch_statements_overdue_total {}\n", counters.overdue);
    text += fmt::format("greengagehitch_sessions_closed_total {}\n", counters.closed);
    return text;
}

std::string render_latencies(session_counters const& counters)
{
    std::string text;
    for (std::size_t i = 0; i < statement_kind_names.size(); ++i) {
        if (counters.latencies[i].count() != 0) {
            text += counters.latencies[i].to_text("greengagehitch_statement_seconds",
                                                  fmt::format("kind=\"{}\"", statement_kind_names[i].name));
        }
    }
    return text;
}

std::string render_fleet_state(session_vm& vm)
{
    auto const& configuration = vm.fleet().configuration();
    auto text =
        fmt::format("greengagehitch_configuration_version {}\n", configuration ? configuration->version : 0);
    if (auto const age = vm.fleet().configuration_age()) {
        text += fmt::format("greengagehitch_configuration_age_seconds {}\n",
                            std::chrono::duration<double>(*age).count());
    }
    for (auto const& [zone, evacuation] : vm.fleet().evacuations().zones()) {
        text +=
            fmt::format("greengagehitch_zone_evacuated{{availability_zone=\"{}\"}} 1\n", escape_label(zone));
    }
    std::size_t leaders_to_move = 0;
    for (auto const& [name, group] : vm.sessions().groups().groups()) {
        auto const* const leader = std::as_const(*group).leader();
        leaders_to_move += leader != nullptr && group->is_evacuated(*leader) ? 1 : 0;
    }
    text += fmt::format("greengagehitch_leaders_in_evacuated_zones {}\n", leaders_to_move);
    for (auto const& reason : wait_reason_names) {
        std::size_t waiting = 0;
        for (auto const& [name, group] : vm.sessions().groups().groups()) {
            waiting += group->waiting()
                           .sum_up(vm.sessions().service_kernel().now())
                           .counts[static_cast<std::size_t>(reason.value)];
        }
        text += fmt::format("greengagehitch_waiting_requests{{reason=\"{}\"}} {}\n", reason.name, waiting);
    }
    for (auto const& [name, group] : vm.sessions().groups().groups()) {
        text += fmt::format("greengagehitch_leader_term{{group=\"{}\"}} {}\n", escape_label(name),
                            group->confirmed_term());
        if (auto const age = group->confirmation_age()) {
            text += fmt::format("greengagehitch_evidence_age_seconds{{group=\"{}\"}} {}\n",
                                escape_label(name), std::chrono::duration<double>(*age).count());
        }
    }
    return text;
}

std::string render_connections(session_vm& vm)
{
    auto text = fmt::format("greengagehitch_hand_overs_total {}\n", vm.brokers().hand_overs());
    for (auto const& each : vm.sessions().groups().connection_counts_of_members()) {
        auto const member = escape_label(each.member);
        text +=
            fmt::format("greengagehitch_member_connections{{member=\"{}\"}} {}\n", member, each.connections);
        text +=
            fmt::format("greengagehitch_member_connection_limit{{member=\"{}\"}} {}\n", member, each.limit);
        text += fmt::format("greengagehitch_member_connections_refused_total{{member=\"{}\"}} {}\n", member,
                            each.refusals);
        for (auto const& match : answer_match_names) {
            text += fmt::format("greengagehitch_unmatched_answers_total{{member=\"{}\",match=\"{}\"}} {}\n",
                                member, match.name,
                                each.unmatched_answers.at(static_cast<std::size_t>(match.value)));
        }
    }
    return text;
}

} // namespace

std::string render_metrics(session_vm& vm)
{
    return render_counters(vm.sessions()) + render_latencies(vm.sessions().counters()) +
           render_fleet_state(vm) + render_connections(vm);
}

} // namespace greengagehitch
