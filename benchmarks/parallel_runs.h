#pragma once

#include <atomic>
#include <functional>
#include <thread>
#include <vector>

namespace greengagehitch {

/// Calls `run` with the indices 0 to count - 1 on all processors and returns the results in the order of the
/// indices. The runs must not share state, so that each is reproducible from its seed.
template <typename Result>
std::vector<Result> run_in_parallel(std::size_t count, std::function<Result(std::size_t)> const& run)
{
    std::vector<Result> results(count);
    std::atomic<std::size_t> next = 0;
    std::vector<std::thread> threads;
    auto const workers = std::max(1U, std::thread::hardware_concurrency());
    for (unsigned int i = 0; i < workers; ++i) {
        threads.emplace_back([&] {
            for (auto index = next++; index < count; index = next++) {
                results[index] = run(index);
            }
        });
    }
    for (auto& thread : threads) {
        thread.join();
    }
    return results;
}

} // namespace greengagehitch
