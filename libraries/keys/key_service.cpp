#include "keys/key_service.h"

#include "base/digest.h"

namespace greengagehitch {

namespace {

constexpr std::string_view key_prefix = "ggh_";
constexpr std::size_t max_key_size = 256;
/// A withdrawn key must be refused within 3 s after the withdrawal was accepted. This limit leaves one second
/// for the new version to reach all VMs.
constexpr duration max_confirmation_age = std::chrono::milliseconds(2'000);

} // namespace

std::string caller_key::to_string() const
{
    return std::string(key_prefix) + id + "_" + secret;
}

std::optional<caller_key> parse_caller_key(std::string_view text)
{
    if (text.size() > max_key_size || !text.starts_with(key_prefix)) {
        return std::nullopt;
    }
    text.remove_prefix(key_prefix.size());
    auto const separator = text.find('_');
    if (separator == std::string_view::npos || separator == 0 || separator + 1 == text.size()) {
        return std::nullopt;
    }
    return caller_key{std::string(text.substr(0, separator)), std::string(text.substr(separator + 1))};
}

std::string compute_key_digest(std::string const& salt_hex, std::string const& secret)
{
    return to_hex(sha256(salt_hex + ":" + secret));
}

void key_service::start()
{
    m_configuration = &m_kernel.find<configuration_service>(configuration_service::service_name);
    m_membership = &m_kernel.find<membership_service>(membership_service::service_name);
}

Json::Value key_service::dump() const
{
    Json::Value state(Json::objectValue);
    auto const& current = m_configuration->current();
    state["keys"] = Json::UInt64(current ? current->keys.size() : 0);
    state["is_current"] = is_current();
    return state;
}

authentication key_service::authenticate(std::string_view key) const
{
    if (key.empty()) {
        return {"", "", key_error::missing};
    }
    auto const parsed = parse_caller_key(key);
    if (!parsed) {
        return {"", "", key_error::malformed};
    }
    auto const& snapshot = *m_configuration->current();
    auto const found = snapshot.keys.find(parsed->id);
    if (found == snapshot.keys.end() ||
        !is_equal_in_constant_time(compute_key_digest(found->second.salt, parsed->secret),
                                   found->second.digest)) {
        return {parsed->id, "", key_error::unknown};
    }
    if (!snapshot.document.client_accounts.contains(found->second.client_account)) {
        return {parsed->id, "", key_error::account_removed};
    }
    return {parsed->id, found->second.client_account, std::nullopt};
}

bool key_service::is_current() const
{
    auto const confirmed = m_configuration->confirmed_since();
    if (confirmed && m_kernel.now() - *confirmed <= max_confirmation_age) {
        return true;
    }
    return m_membership->has_majority();
}

} // namespace greengagehitch
