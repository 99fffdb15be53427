#include "platform_model.h"

namespace greengagehitch::standin {

std::optional<table_row> platform_model::read_row(std::string const& key) const
{
    ++m_reads;
    auto const found = m_rows.find(key);
    if (found == m_rows.end()) {
        return std::nullopt;
    }
    return found->second;
}

absl::StatusOr<std::uint64_t> platform_model::put_row(std::string const& key, std::uint64_t expected_version,
                                                      std::string const& value)
{
    ++m_writes;
    auto const found = m_rows.find(key);
    auto const version = found == m_rows.end() ? 0 : found->second.version;
    if (version != expected_version) {
        return absl::AbortedError("row has another version");
    }
    m_rows[key] = {key, value, version + 1};
    return version + 1;
}

std::vector<table_row> platform_model::scan_rows(std::string const& prefix) const
{
    ++m_reads;
    std::vector<table_row> rows;
    for (auto each = m_rows.lower_bound(prefix); each != m_rows.end() && each->first.starts_with(prefix);
         ++each) {
        rows.push_back(each->second);
    }
    return rows;
}

absl::StatusOr<std::string> platform_model::get_object(std::string const& name) const
{
    ++m_reads;
    auto const found = m_objects.find(name);
    if (found == m_objects.end()) {
        return absl::NotFoundError("object does not exist");
    }
    return found->second;
}

} // namespace greengagehitch::standin
