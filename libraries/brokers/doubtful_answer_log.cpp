#include "brokers/doubtful_answer_log.h"

#include <utility>

namespace greengagehitch {

namespace {

constexpr duration log_period = std::chrono::seconds(1);

} // namespace

void doubtful_answer_log::record(doubtful_answer_use use)
{
    ++m_counts.at(static_cast<std::size_t>(use));
    if (std::exchange(m_is_line_due, true)) {
        return;
    }
    m_kernel.start_timer(log_period, [log = shared_from_this()] { log->write(); });
}

void doubtful_answer_log::write()
{
    m_is_line_due = false;
    Json::Value fields(Json::objectValue);
    fields["group"] = m_group;
    fields["member"] = m_member;
    for (auto const& use : doubtful_answer_use_names) {
        fields[std::string(use.name)] = Json::UInt64(m_counts.at(static_cast<std::size_t>(use.value)));
    }
    m_counts = {};
    m_kernel.log(log_level::info, "members",
                 "answers of the member may have been repetitions; their connections were closed",
                 std::move(fields));
}

} // namespace greengagehitch
