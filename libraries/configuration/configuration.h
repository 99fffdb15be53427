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

/// Class of work with its targets.
struct work_class {
    std::string name;
    class_access access = class_access::read;
    std::vector<std::string> databases;
    /// Oldest age of data that a read may see; empty when a read needs only what its session has seen.
    std::optional<duration> freshness;
    duration delay{};               ///< Target for the whole request.
    double acceptable_refusals = 0; ///< Share of requests.
    bool is_repeatable = true;      ///< False: needs a request id and runs at most once.
    bool is_open_to_all = false;    ///< True: needs no key.
    duration transaction_idle_limit{};

    /// True when a read must not be older than a stated age.
    bool has_freshness() const { return freshness.has_value(); }
};

/// Rate and burst of a client account over the whole fleet.
struct client_account {
    std::string name;
    double rate = 0;  ///< Requests in a second.
    double burst = 0; ///< Requests at once.
};

/// Account under which requests without a key run on classes that are open to all.
inline constexpr auto open_account = "open-to-all";

struct database_entry {
    std::string name;
    bool is_leaving = false; ///< True: takes no new work.
};

/// Caller's key as the fleet knows it: never the key itself.
struct key_record {
    std::string id;
    std::string client_account;
    std::string salt;   ///< Hexadecimal.
    std::string digest; ///< Hexadecimal SHA-256 of salt and secret.
};

/// Operators' document, checked.
struct configuration_document {
    std::map<std::string, work_class> classes;
    std::map<std::string, client_account> client_accounts;
    std::map<std::string, database_entry> databases;
};

/// Reads and checks the operators' YAML document. `file` names the source in errors.
absl::StatusOr<configuration_document> try_parse_configuration(std::string const& text,
                                                               std::string const& file);

/// One accepted version of the configuration: the document, as operators wrote it, and the keys.
struct configuration_snapshot {
    std::uint64_t version = 0;
    std::string previous_digest; ///< Of the version before, so that the history can be walked.
    std::string author;
    std::string summary; ///< What changed, in the words of the command that did it.
    std::string document_text;
    configuration_document document;
    std::map<std::string, key_record> keys;
    std::string digest; ///< SHA-256 of the encoded form, hexadecimal.

    work_class const* find_class(std::string const& name) const;
};

/// Encodes a snapshot as JSON; the digest is left out.
std::string encode_snapshot(configuration_snapshot const& snapshot);

/// Decodes and checks a snapshot, and computes its digest.
absl::StatusOr<configuration_snapshot> try_decode_snapshot(std::string const& body);

} // namespace greengagehitch
