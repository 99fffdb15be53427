#include "platform/single_answer_hooks.h"

#include <utility>

#include "base/single_use.h"

namespace greengagehitch {

namespace {

using repetition_hook = std::function<void(std::string_view hook)>;

/// Wraps the callback, which is the last argument of the hook. A hook that is not set stays so.
template <typename Result, typename... Arguments>
void wrap(auto& hook, std::string_view name, repetition_hook const& on_repeated)
{
    if (!hook) {
        return;
    }
    hook = [call = std::move(hook), name, on_repeated](Arguments... arguments,
                                                       std::function<void(Result)> done) {
        call(std::move(arguments)...,
             single_use(std::move(done), [name, on_repeated] { on_repeated(name); }));
    };
}

} // namespace

platform_hooks make_single_answer_hooks(platform_hooks hooks,
                                        std::function<void(std::string_view hook)> const& on_repeated)
{
    wrap<absl::StatusOr<std::optional<table_row>>, std::string>(hooks.read_row, "read_row", on_repeated);
    wrap<absl::StatusOr<std::uint64_t>, std::string, std::uint64_t, std::string>(hooks.put_row, "put_row",
                                                                                 on_repeated);
    wrap<absl::StatusOr<std::vector<table_row>>, std::string>(hooks.scan_rows, "scan_rows", on_repeated);
    wrap<absl::Status, std::string, std::string>(hooks.put_object, "put_object", on_repeated);
    wrap<absl::StatusOr<std::string>, std::string>(hooks.get_object, "get_object", on_repeated);
    wrap<absl::StatusOr<std::vector<vm_record>>>(hooks.list_vms, "list_vms", on_repeated);
    return hooks;
}

} // namespace greengagehitch
