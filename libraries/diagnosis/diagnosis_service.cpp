#include "diagnosis/diagnosis_service.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

namespace greengagehitch {

namespace {

namespace accumulators = boost::accumulators;

constexpr double tail_quantile = 0.99;

using delay_accumulator = accumulators::accumulator_set<
    double, accumulators::stats<accumulators::tag::count, accumulators::tag::mean, accumulators::tag::max,
                                accumulators::tag::p_square_quantile>>;
using stage_accumulator = accumulators::accumulator_set<double, accumulators::stats<accumulators::tag::mean>>;

} // namespace

/// Statistics of one class of work since the start of the process.
struct diagnosis_service::class_statistics {
    delay_accumulator delay_ms{accumulators::quantile_probability = tail_quantile};
    std::array<stage_accumulator, request_stage_names.size()> stages_ms;
    std::map<refusal_reason, std::uint64_t> refusals;
    std::uint64_t late = 0; ///< Requests that missed the latency target of their class.
    std::uint64_t replica_reads = 0;
    std::uint64_t primary_reads = 0;
};

diagnosis_service::diagnosis_service(kernel& kernel) : m_kernel(kernel) {}

diagnosis_service::~diagnosis_service() = default;

Json::Value diagnosis_service::dump() const
{
    Json::Value state(Json::objectValue);
    for (auto const& [name, statistics] : m_classes) {
        Json::Value entry(Json::objectValue);
        entry["requests"] = Json::UInt64(accumulators::count(statistics->delay_ms));
        entry["mean_ms"] = accumulators::mean(statistics->delay_ms);
        entry["p99_ms"] = accumulators::p_square_quantile(statistics->delay_ms);
        entry["late"] = Json::UInt64(statistics->late);
        entry["replica_reads"] = Json::UInt64(statistics->replica_reads);
        entry["primary_reads"] = Json::UInt64(statistics->primary_reads);
        for (auto const& [reason, count] : statistics->refusals) {
            entry["refusals"][std::string(find_name(refusal_reason_names, reason))] = Json::UInt64(count);
        }
        for (auto const& stage : request_stage_names) {
            entry["mean_ms_by_stage"][std::string(stage.name)] =
                accumulators::mean(statistics->stages_ms[static_cast<std::size_t>(stage.value)]);
        }
        state[name] = std::move(entry);
    }
    return state;
}

void diagnosis_service::record(request_context& request, caller_response const& response)
{
    auto const now = m_kernel.now();
    request.stage_timer().enter(request_stage::admission, now);
    auto& statistics = m_classes[request.work().name];
    if (!statistics) {
        statistics = std::make_unique<class_statistics>();
    }
    auto const delay = now - request.started();
    statistics->delay_ms(to_milliseconds(delay));
    statistics->late += delay > request.work().delay ? 1 : 0;
    for (auto const& stage : request_stage_names) {
        statistics->stages_ms[static_cast<std::size_t>(stage.value)](
            to_milliseconds(request.stage_timer().spent(stage.value)));
    }
    if (auto const* const refused = std::get_if<refusal>(&response)) {
        ++statistics->refusals[refused->reason];
        return;
    }
    auto const is_read = request.work().access == class_access::read;
    auto const source = std::get<caller_answer>(response).source;
    statistics->replica_reads += is_read && source == served_by::replica ? 1 : 0;
    statistics->primary_reads += is_read && source == served_by::primary ? 1 : 0;
}

} // namespace greengagehitch
