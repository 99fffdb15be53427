#include "brokers/dispatcher_counters.h"

#include <algorithm>
#include <string>

namespace greengagehitch {

Json::Value dispatcher_counters::to_json(dispatcher_counters const& before) const
{
    Json::Value fields(Json::objectValue);
    fields["started"] = Json::UInt64(started - before.started);
    fields["trials"] = Json::UInt64(trials - before.trials);
    fields["expired"] = Json::UInt64(expired - before.expired);
    for (std::size_t i = 0; i < admission_result_names.size(); ++i) {
        fields[std::string(admission_result_names[i].name)] =
            Json::UInt64(decisions[i] - before.decisions[i]);
    }
    auto const starts = static_cast<double>(std::max<std::uint64_t>(1, started - before.started));
    fields["expected_wait_ms"] = to_milliseconds(expected_wait - before.expected_wait) / starts;
    fields["true_wait_ms"] = to_milliseconds(true_wait - before.true_wait) / starts;
    return fields;
}

} // namespace greengagehitch
