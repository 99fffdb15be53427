#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"

namespace greengagehitch {

/// Queue with deficit round robin scheduling over client accounts: all accounts get the same total cost of
/// entries, however many entries each has queued. Entries of one account are popped in the order of
/// insertion.
template <typename Entry>
class fair_queue {
public:
    /// Appends an entry to the queue of `client_account`.
    void push(std::string const& client_account, double cost, Entry entry)
    {
        auto& account = m_accounts[client_account];
        if (account.entries.empty()) {
            m_round_robin_order.push_back(client_account);
            account.deficit = 0;
        }
        account.entries.push_back({cost, std::move(entry)});
        ++m_size;
    }

    /// Removes and returns the next entry; returns std::nullopt when the queue is empty.
    std::optional<Entry> pop()
    {
        while (!m_round_robin_order.empty()) {
            auto const name = m_round_robin_order.front();
            auto& account = m_accounts.at(name);
            if (account.deficit < account.entries.front().cost) {
                account.deficit += quantum;
                m_round_robin_order.pop_front();
                m_round_robin_order.push_back(name);
                continue;
            }
            auto entry = std::move(account.entries.front());
            account.entries.pop_front();
            account.deficit -= entry.cost;
            --m_size;
            if (account.entries.empty()) {
                m_round_robin_order.pop_front();
                m_accounts.erase(name);
            }
            return std::move(entry.entry);
        }
        return std::nullopt;
    }

    /// Removes the entries for which `predicate` holds and returns them.
    template <typename Predicate>
    std::vector<Entry> remove_if(Predicate predicate)
    {
        std::vector<Entry> removed;
        for (auto account = m_accounts.begin(); account != m_accounts.end();) {
            auto& entries = account->second.entries;
            for (auto each = entries.begin(); each != entries.end();) {
                if (!predicate(each->entry)) {
                    ++each;
                    continue;
                }
                removed.push_back(std::move(each->entry));
                each = entries.erase(each);
                --m_size;
            }
            if (entries.empty()) {
                std::erase(m_round_robin_order, account->first);
                account = m_accounts.erase(account);
            }
            else {
                ++account;
            }
        }
        return removed;
    }

    std::size_t size() const { return m_size; }
    bool is_empty() const { return m_size == 0; }

private:
    /// Cost that is added to an account's deficit in each round.
    static constexpr double quantum = 1;

    struct costed_entry {
        double cost = 1;
        Entry entry;
    };

    struct account_queue {
        double deficit = 0;
        std::deque<costed_entry> entries;
    };

    std::map<std::string, account_queue> m_accounts;
    std::deque<std::string> m_round_robin_order;
    std::size_t m_size = 0;
};

} // namespace greengagehitch
