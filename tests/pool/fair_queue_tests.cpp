#include <criterion/criterion.h>

#include <string>

#include "pool/fair_queue.h"

using greengagehitch::fair_queue;

Test(fair_queue, large_account_does_not_delay_a_small_one)
{
    fair_queue<std::string> queue;
    for (int i = 0; i < 1'000; ++i) {
        queue.push("large", 1, "large");
    }
    queue.push("small", 1, "small");
    std::size_t before_small = 0;
    while (*queue.pop() != "small") {
        ++before_small;
    }
    cr_assert(before_small <= 2);
}

Test(fair_queue, entries_of_one_account_are_popped_in_order)
{
    fair_queue<int> queue;
    for (int i = 0; i < 10; ++i) {
        queue.push("a", 1, i);
    }
    for (int i = 0; i < 10; ++i) {
        cr_assert(*queue.pop() == i);
    }
    cr_assert(not(queue.pop().has_value()));
}

Test(fair_queue, accounts_get_equal_total_cost)
{
    fair_queue<std::string> queue;
    for (int i = 0; i < 100; ++i) {
        queue.push("costly", 4, "costly");
        queue.push("cheap", 1, "cheap");
    }
    int costly = 0;
    int cheap = 0;
    while (cheap < 40) {
        *queue.pop() == "costly" ? ++costly : ++cheap;
    }
    cr_assert(costly >= 9);
    cr_assert(costly <= 11);
}

Test(fair_queue, remove_if_keeps_the_other_entries)
{
    fair_queue<int> queue;
    for (int i = 0; i < 10; ++i) {
        queue.push(i % 2 == 0 ? "even" : "odd", 1, i);
    }
    cr_assert(queue.remove_if([](int each) { return each % 2 == 0; }).size() == 5);
    cr_assert(queue.size() == 5);
    cr_assert(*queue.pop() == 1);
}
