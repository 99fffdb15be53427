#pragma once

#include <array>
#include <map>

#include "base/enum_names.h"
#include "base/time.h"

namespace greengagehitch {

/// Outcome of an admission decision. All but `admitted` mean that the request was not sent.
enum class admission_result {
    admitted,
    queue_too_long,      ///< It would have to wait for longer than it may.
    connection_too_late, ///< No connection for its account is expected in time.
    finish_too_late,     ///< Its answer would be expected after its time limit.
};

inline constexpr std::array admission_result_names{
    enum_name<admission_result>{admission_result::admitted, "admitted"},
    enum_name<admission_result>{admission_result::queue_too_long, "queue_too_long"},
    enum_name<admission_result>{admission_result::connection_too_late, "connection_too_late"},
    enum_name<admission_result>{admission_result::finish_too_late, "finish_too_late"},
};

/// Moving averages of the time from sending a request to its answer, by priority. With a bounded number of
/// requests in flight, the member answers one request per average time divided by that number.
class service_times {
public:
    void record(int priority, duration value);

    /// Returns the average of the priority, or of all requests if none of this priority was answered yet.
    duration expected(int priority) const;

private:
    std::map<int, duration> m_averages;
    duration m_overall = std::chrono::milliseconds(25);
};

/// Ratio of the true waits to those that were expected, by priority. It exceeds 1 where requests of higher
/// priority keep arriving after the decision.
class wait_corrections {
public:
    void record(int priority, duration expected, duration waited);
    double factor(int priority) const;

private:
    std::map<int, double> m_factors;
};

/// Load of a member as its broker knows it, seen by one request.
struct member_load {
    std::size_t running = 0;          ///< Requests and handshakes that occupy the member.
    std::size_t limit = 1;            ///< Number of requests and handshakes that may occupy it at a time.
    std::map<int, std::size_t> ahead; ///< Requests expected to start before this one, by priority.
    duration connection_wait{};       ///< Time until a connection for its account is expected.
    double wait_correction = 1;       ///< Factor on the wait in the queue.
};

/// Limits of one request, counted from now.
struct admission_limits {
    int priority = 0;
    duration longest_wait{}; ///< Longest time until the request is sent.
    duration time_limit{};   ///< Time until its answer is needed.
};

struct admission_decision {
    admission_result result = admission_result::admitted;
    duration queue_wait{};     ///< Wait that the load alone suggests, without its correction.
    duration expected_start{}; ///< Expected time until the request is sent.
    duration expected_finish{};
    duration room_in{}; ///< Time after which a request like this one would be admitted; 0 if it is now.
};

/// Decides whether a request may wait for the member, from its expected start and finish.
admission_decision decide_admission(admission_limits const& limits, member_load const& load,
                                    service_times const& times);

} // namespace greengagehitch
