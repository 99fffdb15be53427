#pragma once

#include <map>
#include <optional>
#include <string>

#include "base/time.h"
#include "platform/store_position.h"

namespace greengagehitch {

/// Evacuation of one availability zone as operators requested it.
struct zone_evacuation {
    store_position request; ///< Position at which the store recorded the request.
    /// Latest time at which the evacuation is known not to have been requested yet. Its absence means that
    /// the request may be of any age.
    std::optional<monotonic_time> requested_after;
    /// Time at which a restored store was first read that does not have the request.
    std::optional<monotonic_time> missing_since;
};

/// Set of the evacuated availability zones. The set is complete up to the position of the last change that
/// was applied, so that changes may arrive from the store and from peers in any order.
class zone_evacuations {
public:
    /// Zones with the position of their request.
    using requests_map = std::map<std::string, store_position>;

    /// Applies the request of an evacuation, or its withdrawal. Returns false, and changes nothing, if the
    /// change is not newer than the last one.
    bool apply_request(std::string const& zone, store_position change,
                       std::optional<monotonic_time> requested_after);
    bool apply_withdrawal(std::string const& zone, store_position change);

    /// Replaces the set by the requests that existed at `position`. A request that a restored store has lost
    /// stays in force until expire() drops it. Returns true if the set changed.
    bool replace(requests_map const& requests, store_position position,
                 std::optional<monotonic_time> requested_after, monotonic_time now);

    /// Raises the position of the last change to one at which a peer has the same set.
    void skip_to(store_position change);

    /// Drops the requests that a restored store has lost and that operators have not made again in time.
    /// Returns true if the set changed.
    bool expire(monotonic_time now);

    /// Returns whether nothing new may be sent to the members of a zone by choice.
    bool is_evacuated(std::string const& zone) const { return m_zones.contains(zone); }

    /// Returns whether a request that only a member of the zone can run may still be sent there, if the
    /// evacuation must be complete `limit` after its request was confirmed.
    bool may_send(std::string const& zone, duration limit, monotonic_time now) const;

    /// Position of the last change; the default value if no evacuation was ever requested.
    store_position last_change() const { return m_last_change; }
    /// Evacuated zones, keyed by name.
    std::map<std::string, zone_evacuation> const& zones() const { return m_zones; }
    /// Returns the requests that the store had when it was read last.
    requests_map requests() const;

private:
    std::map<std::string, zone_evacuation> m_zones;
    store_position m_last_change;
};

} // namespace greengagehitch
