#include "virtual_platform.h"

namespace greengagehitch::standin {

namespace {

/// Timeout of the HTTP client of a daemon for one call.
constexpr duration call_timeout = std::chrono::seconds(1);

} // namespace

platform_hooks virtual_platform::hooks(std::string const& zone,
                                       std::function<void(std::function<void()>)> deliver)
{
    platform_hooks hooks;
    hooks.read_row = [this, zone, deliver](std::string const& key, auto done) {
        call<absl::StatusOr<std::optional<table_row>>>(
            zone, deliver,
            [this, key]() -> absl::StatusOr<std::optional<table_row>> { return m_model.read_row(key); },
            std::move(done));
    };
    hooks.put_row = [this, zone, deliver](std::string const& key, std::uint64_t expected,
                                          std::string const& value, auto done) {
        call<absl::StatusOr<std::uint64_t>>(
            zone, deliver, [this, key, expected, value] { return m_model.put_row(key, expected, value); },
            std::move(done));
    };
    hooks.scan_rows = [this, zone, deliver](std::string const& prefix, auto done) {
        call<absl::StatusOr<std::vector<table_row>>>(
            zone, deliver,
            [this, prefix]() -> absl::StatusOr<std::vector<table_row>> { return m_model.scan_rows(prefix); },
            std::move(done));
    };
    hooks.put_object = [this, zone, deliver](std::string const& name, std::string const& body, auto done) {
        call<absl::Status>(
            zone, deliver,
            [this, name, body] {
                m_model.put_object(name, body);
                return absl::OkStatus();
            },
            std::move(done));
    };
    hooks.get_object = [this, zone, deliver](std::string const& name, auto done) {
        call<absl::StatusOr<std::string>>(
            zone, deliver, [this, name] { return m_model.get_object(name); }, std::move(done));
    };
    hooks.list_vms = [this, zone, deliver](auto done) {
        call<absl::StatusOr<std::vector<vm_record>>>(
            zone, deliver, [this]() -> absl::StatusOr<std::vector<vm_record>> { return m_model.vms(); },
            std::move(done));
    };
    return hooks;
}

template <typename Result>
void virtual_platform::call(std::string const& zone,
                            std::function<void(std::function<void()>)> const& deliver,
                            std::function<Result()> operation, std::function<void(Result)> done)
{
    auto const fail_after_timeout = [this, deliver, done] {
        m_clock.start_timer(call_timeout, [deliver, done] {
            deliver([done] { done(absl::UnavailableError("platform did not answer before the timeout")); });
        });
    };
    if (m_network.is_cut(zone, virtual_network::platform)) {
        fail_after_timeout();
        return;
    }
    auto const request_latency = m_network.draw_latency(zone, virtual_network::platform) + m_extra_delay;
    m_clock.start_timer(
        request_latency, [this, zone, deliver, operation = std::move(operation), done, fail_after_timeout] {
            if (m_is_down) {
                fail_after_timeout();
                return;
            }
            auto result = operation();
            auto const is_lost = m_clock.random_share() < m_lost_answer_share ||
                                 m_network.is_cut(zone, virtual_network::platform);
            if (is_lost) {
                fail_after_timeout();
                return;
            }
            m_clock.start_timer(m_network.draw_latency(zone, virtual_network::platform),
                                [deliver, done, result] { deliver([done, result] { done(result); }); });
        });
}

} // namespace greengagehitch::standin
