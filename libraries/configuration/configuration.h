#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "base/enum_names.h"
#include "base/time.h"

namespace greengagehitch {

enum class class_access { read, write };

inline constexpr std::array class_access_names{
    enum_name<class_access>{class_access::read, "read"},
    enum_name<class_access>{class_access::write, "write"},
};

/// Class of work with its access, databases and targets.
struct work_class {
    std::string name;
    class_access access = class_access::read;
    std::vector<std::string> databases;
    /// Maximum age of the data that a read may return; empty when reads need only be as new as the state that
    /// their session has seen.
    std::optional<duration> freshness;
    duration delay{};                  ///< Latency target of a whole request.
    double acceptable_refusals = 0;    ///< Target for the fraction of requests that are refused.
    bool is_repeatable = true;         ///< False if requests need a request id and run at most once.
    bool is_open_to_all = false;       ///< True if callers need no API key to use the class.
    duration transaction_idle_limit{}; ///< Time after which an idle interactive transaction is rolled back.

    /// Returns true if reads must not return data older than a configured age.
    bool has_freshness() const { return freshness.has_value(); }
};

/// Rate and burst of a client account over the whole fleet.
struct client_account {
    std::string name;
    double rate = 0;  ///< Requests per second.
    double burst = 0; ///< Number of requests that may arrive at once.
};

/// Client account of requests without a key, on classes that are open to all.
inline constexpr auto open_to_all_account = "open-to-all";

struct database_entry {
    std::string name;
    bool is_leaving = false; ///< True if the database accepts no new work because it is being removed.
};

/// Caller's key as the fleet stores it, with a salted digest in place of the secret.
struct key_record {
    std::string id;
    std::string client_account;
    std::string salt;   ///< Salt of the digest, in hexadecimal.
    std::string digest; ///< SHA-256 of the salt and the secret, in hexadecimal.
};

/// Parsed and validated form of the operators' document.
struct configuration_document {
    std::map<std::string, work_class> classes;
    std::map<std::string, client_account> client_accounts;
    std::map<std::string, database_entry> databases;
};

/// Parses and validates the operators' YAML document. `file` names the source in errors.
absl::StatusOr<configuration_document> try_parse_configuration(std::string const& text,
                                                               std::string const& file);

/// One version of the configuration: the document, as operators wrote it, and the keys.
struct configuration_snapshot {
    std::uint64_t version = 0;
    std::string previous_digest; ///< Digest of the previous version, which links the history.
    std::string author;
    std::string summary; ///< Description of the change, from the command that made it.
    std::string document_text;
    configuration_document document;
    std::map<std::string, key_record> keys;
    std::string digest; ///< SHA-256 of the encoded snapshot, in hexadecimal.

    /// Returns null if the class is not configured.
    work_class const* find_class(std::string const& name) const;
};

/// Encodes a snapshot as JSON, without its digest.
std::string encode_snapshot(configuration_snapshot const& snapshot);

/// Decodes and validates a snapshot, and computes its digest.
absl::StatusOr<configuration_snapshot> try_decode_snapshot(std::string const& body);

} // namespace greengagehitch
