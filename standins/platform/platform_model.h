#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "platform/platform_hooks.h"

namespace greengagehitch::standin {

/// In-memory model of the platform's table service, object store and VM list, without I/O and delays.
class platform_model {
public:
    /// Returns the row, or nothing if it is absent.
    std::optional<table_row> read_row(std::string const& key) const;

    /// Writes a value if the row has `expected_version`, where 0 stands for an absent row, and returns the
    /// new version. Returns an aborted error if the row has another version.
    absl::StatusOr<std::uint64_t> put_row(std::string const& key, std::uint64_t expected_version,
                                          std::string const& value);

    /// Returns all rows whose key starts with `prefix`, in order of their keys.
    std::vector<table_row> scan_rows(std::string const& prefix) const;

    void put_object(std::string const& name, std::string const& body) { m_objects[name] = body; }
    absl::StatusOr<std::string> get_object(std::string const& name) const;

    std::vector<vm_record> const& vms() const { return m_vms; }
    void set_vms(std::vector<vm_record> vms) { m_vms = std::move(vms); }

    /// Returns the number of reads: rows, scans and objects.
    std::uint64_t reads() const { return m_reads; }
    /// Returns the number of attempts to write a row.
    std::uint64_t writes() const { return m_writes; }

private:
    std::map<std::string, table_row> m_rows;      ///< Keyed by row key.
    std::map<std::string, std::string> m_objects; ///< Bodies, keyed by object name.
    std::vector<vm_record> m_vms;
    mutable std::uint64_t m_reads = 0;
    std::uint64_t m_writes = 0;
};

} // namespace greengagehitch::standin
