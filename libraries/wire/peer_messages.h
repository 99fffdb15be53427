#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <variant>
#include <vector>

#include <msgpack.hpp>

#include "settings/daemon_settings.h"

namespace greengagehitch {

/// Identity and address of a VM, as one VM reports them of itself or of another VM.
struct vm_identity_report {
    std::string vm;
    std::string availability_zone;
    std::uint64_t incarnation = 0; ///< Random number that changes with each start of the VM's daemon.
    std::string host;
    std::uint16_t port = 0;  ///< UDP port for datagrams from peers; 0 when unknown.
    bool is_leaving = false; ///< True when the VM is shutting down.
    /// Processor time of the VM in thousandths of one core; 0 when unknown.
    std::uint32_t processor_permille = 0;
    std::uint32_t uptime_ms = 0; ///< Time since the daemon started, at most an hour; 0 when unknown.
    MSGPACK_DEFINE(vm, availability_zone, incarnation, host, port, is_leaving, processor_permille, uptime_ms)
};

/// Periodic message by which VMs detect each other. A heartbeat echoes the last sequence number that was
/// received from the peer, which gives the receiver an upper bound on the age of the heartbeat's content
/// without synchronized clocks.
struct heartbeat {
    vm_identity_report sender;
    std::uint64_t sequence = 0;        ///< Increases with each heartbeat of the sender's incarnation.
    std::uint64_t echoed_sequence = 0; ///< Last sequence number received from the receiver; 0 for none.
    std::uint64_t configuration_version = 0;
    std::string configuration_digest;
    /// Time since this version was last known to be the newest, in microseconds.
    std::uint64_t configuration_age_us = 0;
    bool is_reply = false; ///< True when this answers a heartbeat; replies are not answered.
    std::vector<vm_identity_report> identity_reports;
    std::vector<std::string> subscriptions; ///< Names of the databases that the sender uses.
    MSGPACK_DEFINE(sender, sequence, echoed_sequence, configuration_version, configuration_digest,
                   configuration_age_us, is_reply, identity_reports, subscriptions)
};

/// Requests a chunk of an encoded configuration snapshot.
struct configuration_request {
    std::string digest;       ///< Digest that identifies the snapshot.
    std::uint64_t offset = 0; ///< Position of the chunk in the encoded snapshot, in bytes.
    MSGPACK_DEFINE(digest, offset)
};

/// Chunk of an encoded configuration snapshot, in answer to a configuration_request.
struct configuration_chunk {
    std::string digest;           ///< Digest that identifies the snapshot.
    std::uint64_t total_size = 0; ///< Size of the whole encoded snapshot in bytes.
    std::uint64_t offset = 0;     ///< Position of the chunk in the encoded snapshot, in bytes.
    std::string bytes;
    MSGPACK_DEFINE(digest, total_size, offset, bytes)
};

/// Replication state of one member as a watcher last measured it.
struct member_sample {
    std::uint64_t term = 0;
    bool is_primary = false;
    std::uint64_t received_term = 0;
    std::uint64_t received_position = 0;
    std::uint64_t applied_term = 0;
    std::uint64_t applied_position = 0;
    /// Time since the watcher sent the probe that the member answered last, in microseconds. Both `age_us`
    /// and `term` are 0 when the member has not answered any probe.
    std::uint64_t age_us = 0;
    MSGPACK_DEFINE(term, is_primary, received_term, received_position, applied_term, applied_position, age_us)
};

/// State of a database group that a watcher sends to the VMs that use the database.
struct group_state {
    std::string database;
    std::uint64_t term = 0;
    std::string primary;                ///< Name of the primary of `term`; empty when it is unknown.
    std::string description;            ///< The group's row in the platform's table, as JSON.
    std::vector<member_sample> samples; ///< One for each member, in the order of `description`.
    MSGPACK_DEFINE(database, term, primary, description, samples)
};

/// Requests the group_state of a database from a watcher.
struct group_state_request {
    std::string database;
    MSGPACK_DEFINE(database)
};

/// Reports whether the sender considers the primary of a term unreachable.
struct primary_suspicion {
    std::string database;
    std::uint64_t term = 0;
    bool is_suspected = false;
    bool wants_reply = false; ///< True when the receiver should answer with its own assessment.
    MSGPACK_DEFINE(database, term, is_suspected, wants_reply)
};

/// Loan of a share of an allotment, either new or renewed.
struct share_loan {
    std::uint64_t number = 0; ///< Unique within the lender's incarnation.
    std::int64_t amount = 0;  ///< Lent share, in millionths of the full amount.
    /// Duration of the loan in microseconds, from the time of the borrower's request.
    std::uint64_t duration_us = 0;
    MSGPACK_DEFINE(number, amount, duration_us)
};

/// Lends shares of an allotment in answer to a share_request. The sender subtracts them before it sends them,
/// so a lost transfer makes the amount unavailable until the loans have ended, but never duplicates it.
struct share_transfer {
    std::string allotment;
    std::uint64_t request = 0;              ///< Number of the share_request that this answers.
    std::uint64_t receiver_incarnation = 0; ///< Incarnation of the VM that sent the request.
    std::vector<share_loan> loans;
    std::int64_t tokens = 0;        ///< Tokens that are transferred with the loans, in millionths.
    std::int64_t lender_tokens = 0; ///< Tokens that the sender still has, in millionths.
    MSGPACK_DEFINE(allotment, request, receiver_incarnation, loans, tokens, lender_tokens)
};

/// Requests a share of an allotment and the renewal of earlier loans.
struct share_request {
    std::string allotment;
    std::uint64_t number = 0;  ///< Increases with each request of the sender's incarnation.
    std::uint64_t waiting = 0; ///< Number of operations at the sender that wait for a token.
    std::int64_t wanted = 0;   ///< Requested tokens, in millionths.
    std::int64_t held = 0;     ///< Share that the sender holds, in millionths of the full amount.
    std::int64_t demand = 0;   ///< Demand at the sender, in millionths of an operation per second.
    /// Numbers of the receiver's loans that the sender still needs.
    std::vector<std::uint64_t> loans_to_renew;
    MSGPACK_DEFINE(allotment, number, waiting, wanted, held, demand, loans_to_renew)
};

/// Hash that stands for the name of a client account, group, VM or zone in reports, which are sent often and
/// must be small. The receiver treats names with the same hash as one; this reduces fairness but violates no
/// limit.
using name_hash = std::uint32_t;

/// Demand of one client account at the sender.
struct account_demand {
    name_hash client_account = 0;
    std::uint32_t operations = 0; ///< Demand, in hundredths of an operation per second.
    std::uint32_t tokens = 0;     ///< Whole tokens that the sender holds.
    MSGPACK_DEFINE(client_account, operations, tokens)
};

/// What the sender knows about the leader of a database group.
struct leader_report {
    name_hash group = 0;
    std::string member; ///< Id of the leader; empty when the sender knows none.
    std::uint64_t term = 0;
    std::uint64_t highest_term = 0;     ///< Term of the highest log position that the sender saw committed.
    std::uint64_t highest_position = 0; ///< Highest log position that the sender saw committed.
    bool is_suspected = false;          ///< True when the sender considers the leader unreachable.
    bool holds_failover_lock = false;   ///< True when the sender holds the failover lock of the group.
    MSGPACK_DEFINE(group, member, term, highest_term, highest_position, is_suspected, holds_failover_lock)
};

/// Position in the store's history of the last change of the evacuations; 0 if none was ever requested.
struct evacuation_position {
    std::uint64_t era = 0;
    std::uint64_t version = 0;
    MSGPACK_DEFINE(era, version)

    auto operator<=>(evacuation_position const&) const = default;
};

/// State that a VM sends to the other VMs of its availability zone.
struct vm_report {
    /// Contains the sender's current address, since the platform's list of VMs may be out of date.
    vm_identity_report sender;
    std::uint64_t configuration_version = 0;
    std::uint32_t configuration_age_ms = 0;    ///< Time since that version was last known to be the newest.
    std::uint32_t member_directory_digest = 0; ///< Digest of the sender's copy of the member directory.
    bool is_leaving = false;
    std::vector<name_hash> reachable_vms; ///< VMs of the zone from which the sender receives messages.
    std::vector<account_demand> demands;
    std::vector<leader_report> leaders;
    evacuation_position evacuations; ///< Last change of the evacuations that the sender knows.
    /// Age of the sender's process; the greatest value when the sender does not report it.
    std::uint32_t uptime_ms = std::numeric_limits<std::uint32_t>::max();
    MSGPACK_DEFINE(sender, configuration_version, configuration_age_ms, member_directory_digest, is_leaving,
                   reachable_vms, demands, leaders, evacuations, uptime_ms)
};

/// Combined assessment of a group's leader by the VMs of one availability zone.
struct zone_assessment {
    leader_report leader;
    name_hash lock_holder = 0;  ///< VM of the zone that holds the failover lock of the group; 0 for none.
    std::uint32_t voters = 0;   ///< Number of VMs of the zone that use the group.
    std::uint32_t suspects = 0; ///< Number of the voters that consider the leader unreachable.
    MSGPACK_DEFINE(leader, lock_holder, voters, suspects)
};

/// Total demand of one client account in an availability zone.
struct zone_demand {
    name_hash client_account = 0;
    std::uint32_t operations = 0; ///< Demand, in hundredths of an operation per second.
    MSGPACK_DEFINE(client_account, operations)
};

/// State of all VMs of an availability zone. The zone reporter sends it to one VM of each other zone, which
/// forwards it to its zone peers. The traffic between zones therefore does not grow with the number of VMs.
struct zone_report {
    std::string availability_zone;
    std::uint64_t configuration_version = 0;
    /// Configuration age at the VM of the zone with the newest configuration.
    std::uint32_t configuration_age_ms = 0;
    std::uint32_t member_directory_digest = 0; ///< Digest of that VM's copy of the member directory.
    std::vector<name_hash> vms;                ///< VMs that serve, including the zone reporter.
    std::vector<name_hash> leaving_vms;        ///< VMs that are shutting down.
    std::vector<name_hash> vms_with_store;     ///< VMs of `vms` that can reach the platform's store.
    std::vector<name_hash> reachable_zones;    ///< Zones whose latest report at the sender has not expired.
    std::vector<zone_demand> demands;
    std::vector<zone_assessment> assessments;
    evacuation_position evacuations; ///< Last change of the evacuations that any VM of the zone knows.
    /// Ages of the youngest and of the oldest process of the zone; the greatest value when not reported.
    std::uint32_t shortest_uptime_ms = std::numeric_limits<std::uint32_t>::max();
    std::uint32_t longest_uptime_ms = std::numeric_limits<std::uint32_t>::max();
    MSGPACK_DEFINE(availability_zone, configuration_version, configuration_age_ms, member_directory_digest,
                   vms, leaving_vms, vms_with_store, reachable_zones, demands, assessments, evacuations,
                   shortest_uptime_ms, longest_uptime_ms)
};

/// Asks the VM that reads the store for its zone for the state that it has read.
struct store_status_request {
    std::uint32_t number = 0; ///< Increases with each request of the sender's incarnation.
    MSGPACK_DEFINE(number)
};

/// Answers a store_status_request.
struct store_status_reply {
    /// Number of the request. The other fields were current after the request was sent.
    std::uint32_t number = 0;
    std::uint64_t configuration_version = 0;
    std::uint32_t configuration_age_ms = 0;    ///< Time since that version was last known to be the newest.
    std::uint32_t member_directory_digest = 0; ///< Digest of the sender's copy of the member directory.
    std::uint64_t store_era = 0;               ///< Latest era of the store that the sender saw.
    evacuation_position evacuations;           ///< Last change of the evacuations that the sender knows.
    MSGPACK_DEFINE(number, configuration_version, configuration_age_ms, member_directory_digest, store_era,
                   evacuations)
};

/// Requests tokens of a client account's rate from a peer.
struct token_request {
    std::string client_account;
    std::uint64_t number = 0; ///< Increases with each request of the sender's incarnation.
    std::uint32_t wanted = 0; ///< Number of tokens.
    MSGPACK_DEFINE(client_account, number, wanted)
};

/// Transfers tokens to a peer. The sender subtracts them first, so a lost grant loses tokens but never
/// duplicates them.
struct token_grant {
    std::string client_account;
    std::uint64_t number = 0; ///< Number of the token_request that this answers.
    std::uint32_t tokens = 0;
    /// Time in microseconds, from the send time of the request, for which the tokens may be used; 0 for the
    /// longest time.
    std::uint32_t lifetime_us = 0;
    MSGPACK_DEFINE(client_account, number, tokens, lifetime_us)
};

using peer_message =
    std::variant<heartbeat, configuration_request, configuration_chunk, group_state, group_state_request,
                 primary_suspicion, share_transfer, share_request, vm_report, token_request, token_grant,
                 store_status_request, store_status_reply, zone_report>;

/// Message together with the identity of its sender.
struct peer_envelope {
    std::string sender;
    std::uint64_t sender_incarnation = 0;
    peer_message message;
};

} // namespace greengagehitch
