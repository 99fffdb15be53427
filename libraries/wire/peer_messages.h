#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <msgpack.hpp>

#include "settings/daemon_settings.h"

namespace greengagehitch {

/// What one VM knows of another and passes on.
struct member_rumor {
    std::string vm;
    std::string availability_zone;
    std::uint64_t incarnation = 0;
    std::string host;
    std::uint16_t port = 0;
    bool is_leaving = false;
    MSGPACK_DEFINE(vm, availability_zone, incarnation, host, port, is_leaving)
};

/// Sign of life. Peers answer each other's heartbeats by echoing the sequence number, so that a receiver
/// knows a bound on the age of what the message says without a shared clock.
struct heartbeat {
    member_rumor sender;
    std::uint64_t sequence = 0;
    std::uint64_t echoed_sequence = 0; ///< Last sequence number heard from the receiver; 0 for none.
    std::uint64_t configuration_version = 0;
    std::string configuration_digest;
    std::uint64_t configuration_age_us = 0; ///< Since the sender knew that this version is the newest.
    bool is_reply = false;
    std::vector<member_rumor> rumors;
    std::vector<std::string> interests; ///< Databases that the sender uses.
    MSGPACK_DEFINE(sender, sequence, echoed_sequence, configuration_version, configuration_digest,
                   configuration_age_us, is_reply, rumors, interests)
};

/// Asks for a part of a configuration snapshot's encoded form.
struct configuration_request {
    std::string digest;
    std::uint64_t offset = 0;
    MSGPACK_DEFINE(digest, offset)
};

struct configuration_chunk {
    std::string digest;
    std::uint64_t total_size = 0;
    std::uint64_t offset = 0;
    std::string bytes;
    MSGPACK_DEFINE(digest, total_size, offset, bytes)
};

/// One member's position as a watcher knows it.
struct member_sample {
    std::uint64_t term = 0;
    bool is_primary = false;
    std::uint64_t received_term = 0;
    std::uint64_t received_position = 0;
    std::uint64_t applied_term = 0;
    std::uint64_t applied_position = 0;
    std::uint64_t age_us = 0; ///< Since the watcher asked; 0 with term 0 when it never got an answer.
    MSGPACK_DEFINE(term, is_primary, received_term, received_position, applied_term, applied_position, age_us)
};

/// A watcher's view of a database group, for the VMs that use the database.
struct group_state {
    std::string database;
    std::uint64_t term = 0;
    std::string primary;                ///< Name of the primary of that term; empty when none is known.
    std::string description;            ///< JSON of the group's row in the platform's table.
    std::vector<member_sample> samples; ///< In the order of the description.
    MSGPACK_DEFINE(database, term, primary, description, samples)
};

struct group_state_request {
    std::string database;
    MSGPACK_DEFINE(database)
};

/// Says whether the sender finds the primary of a term unreachable.
struct primary_suspicion {
    std::string database;
    std::uint64_t term = 0;
    bool is_suspected = false;
    bool wants_opinion = false; ///< True when the receiver should answer with its own view.
    MSGPACK_DEFINE(database, term, is_suspected, wants_opinion)
};

/// Loan of a part of an allotment, new or prolonged.
struct share_loan {
    std::uint64_t number = 0;    ///< Unique for the lender's incarnation.
    std::int64_t amount = 0;     ///< Millionths of the whole.
    std::uint64_t length_us = 0; ///< From when the borrower asked.
    MSGPACK_DEFINE(number, amount, length_us)
};

/// Lends parts of an allotment in answer to a request. The sender has subtracted them before; a lost transfer
/// loses the amount until the loans have ended, and never makes any.
struct share_transfer {
    std::string allotment;
    std::uint64_t request = 0; ///< Number of the request that this answers.
    std::uint64_t receiver_incarnation = 0;
    std::vector<share_loan> loans;
    std::int64_t tokens = 0;        ///< Millionths of a token that come with the loans.
    std::int64_t lender_tokens = 0; ///< Millionths of a token that the sender has left.
    MSGPACK_DEFINE(allotment, request, receiver_incarnation, loans, tokens, lender_tokens)
};

/// Asks for a part of an allotment and for longer loans.
struct share_request {
    std::string allotment;
    std::uint64_t number = 0;             ///< Unique for the sender's incarnation; grows.
    std::uint64_t waiting = 0;            ///< Requests that wait for a token.
    std::int64_t wanted = 0;              ///< Millionths of a token.
    std::int64_t held = 0;                ///< Millionths of the whole.
    std::int64_t demand = 0;              ///< Millionths of a request in a second.
    std::vector<std::uint64_t> prolonged; ///< Loans of the receiver that the sender still needs.
    MSGPACK_DEFINE(allotment, number, waiting, wanted, held, demand, prolonged)
};

/// Short name of a client account, group or VM in reports, which go out often. Names that share one are
/// treated as one by the receiver, which costs fairness but breaks no bound.
using short_name = std::uint32_t;

/// Demand of one client account at the sender.
struct account_demand {
    short_name client_account = 0;
    std::uint32_t operations = 0; ///< In a second, in hundredths.
    std::uint32_t tokens = 0;     ///< That the sender holds.
    MSGPACK_DEFINE(client_account, operations, tokens)
};

/// What the sender knows of a group's leader.
struct leader_report {
    short_name group = 0;
    std::string member; ///< Empty when the sender knows none.
    std::uint64_t term = 0;
    std::uint64_t highest_term = 0; ///< Of the highest position that the sender saw committed.
    std::uint64_t highest_position = 0;
    bool is_suspected = false;
    bool holds_failover_lock = false; ///< The sender orders promotions for this group.
    MSGPACK_DEFINE(group, member, term, highest_term, highest_position, is_suspected, holds_failover_lock)
};

/// State that a VM which serves sessions shares with the others of its availability zone.
struct vm_report {
    member_rumor sender; ///< Tells where the sender is heard, since the platform's list lags.
    std::uint64_t configuration_version = 0;
    std::uint32_t store_age_ms = 0; ///< Since that version was known to be the newest.
    std::uint32_t directory = 0;    ///< Digest of the members' directory as the sender knows it.
    bool is_leaving = false;
    std::vector<short_name> heard; ///< VMs of its zone that the sender hears.
    std::vector<account_demand> demands;
    std::vector<leader_report> leaders;
    MSGPACK_DEFINE(sender, configuration_version, store_age_ms, directory, is_leaving, heard, demands,
                   leaders)
};

/// What the VMs of one availability zone say together of a group's leader.
struct zone_opinion {
    leader_report leader;
    short_name lock_holder = 0; ///< VM of the zone that orders promotions; 0 for none.
    std::uint32_t voters = 0;   ///< VMs that use the group.
    std::uint32_t suspects = 0; ///< Of them, those that find the leader unreachable.
    MSGPACK_DEFINE(leader, lock_holder, voters, suspects)
};

/// Demand of one client account in a whole availability zone.
struct zone_demand {
    short_name client_account = 0;
    std::uint32_t operations = 0; ///< In a second, in hundredths.
    MSGPACK_DEFINE(client_account, operations)
};

/// State of all VMs of an availability zone. One of them writes it and sends it to one VM of each other zone,
/// which passes it on there; so what crosses zones does not grow with the number of VMs.
struct zone_report {
    std::string availability_zone;
    std::uint64_t configuration_version = 0;
    std::uint32_t store_age_ms = 0; ///< Of the VM that knows most of the store.
    std::uint32_t directory = 0;
    std::vector<short_name> vms;         ///< That serve, the writer included.
    std::vector<short_name> leaving_vms; ///< That shut down.
    std::vector<short_name> with_store;  ///< Of `vms`, those that reach the store.
    std::vector<short_name> heard_zones;
    std::vector<zone_demand> demands;
    std::vector<zone_opinion> opinions;
    MSGPACK_DEFINE(availability_zone, configuration_version, store_age_ms, directory, vms, leaving_vms,
                   with_store, heard_zones, demands, opinions)
};

/// Asks the VM that follows the store for its zone what it knows.
struct store_question {
    std::uint32_t number = 0; ///< Grows with each question of the sender's incarnation.
    MSGPACK_DEFINE(number)
};

struct store_word {
    std::uint32_t number = 0; ///< Of the question. What follows was known after it was asked.
    std::uint64_t configuration_version = 0;
    std::uint32_t store_age_ms = 0;
    std::uint32_t directory = 0;
    MSGPACK_DEFINE(number, configuration_version, store_age_ms, directory)
};

/// Asks for tokens of a client account's rate.
struct token_request {
    std::string client_account;
    std::uint64_t number = 0; ///< Of the sender's incarnation.
    std::uint32_t wanted = 0;
    MSGPACK_DEFINE(client_account, number, wanted)
};

/// Gives tokens, which the sender has subtracted before. A lost grant loses them, and never makes any.
struct token_grant {
    std::string client_account;
    std::uint64_t number = 0; ///< Of the request that this answers.
    std::uint32_t tokens = 0;
    MSGPACK_DEFINE(client_account, number, tokens)
};

using peer_message =
    std::variant<heartbeat, configuration_request, configuration_chunk, group_state, group_state_request,
                 primary_suspicion, share_transfer, share_request, vm_report, token_request, token_grant,
                 store_question, store_word, zone_report>;

/// Message with the identity of its sender.
struct peer_envelope {
    std::string sender;
    std::uint64_t sender_incarnation = 0;
    peer_message message;
};

} // namespace greengagehitch
