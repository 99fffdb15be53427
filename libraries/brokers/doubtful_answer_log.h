#pragma once

#include <array>
#include <cstddef>
#include <memory>
#include <string>

#include "base/enum_names.h"
#include "kernel/kernel.h"

namespace greengagehitch {

/// What became of an answer that may have been a repetition of an earlier one.
enum class doubtful_answer_use {
    accepted,        ///< It counted, since nothing depends on which command it belongs to.
    sent_again,      ///< Its command was sent again on a connection on which nothing had been sent.
    outcome_unknown, ///< It was dropped, and the outcome of its command counts as unknown.
};

inline constexpr std::array doubtful_answer_use_names{
    enum_name<doubtful_answer_use>{doubtful_answer_use::accepted, "accepted"},
    enum_name<doubtful_answer_use>{doubtful_answer_use::sent_again, "sent_again"},
    enum_name<doubtful_answer_use>{doubtful_answer_use::outcome_unknown, "outcome_unknown"},
};

/// Logs what became of the doubtful answers of one member, in one line a second at most. Healthy members give
/// equal answers often, such as the same error to several callers.
class doubtful_answer_log : public std::enable_shared_from_this<doubtful_answer_log> {
public:
    doubtful_answer_log(kernel& kernel, std::string group, std::string member)
        : m_kernel(kernel), m_group(std::move(group)), m_member(std::move(member))
    {
    }

    void record(doubtful_answer_use use);

private:
    void write();

    kernel& m_kernel;
    std::string m_group;
    std::string m_member;
    std::array<std::size_t, doubtful_answer_use_names.size()> m_counts{}; ///< Answers since the last line.
    bool m_is_line_due = false;
};

} // namespace greengagehitch
