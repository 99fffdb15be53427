#include <criterion/criterion.h>

#include "session_fleet.h"

using namespace std::chrono_literals;
using namespace greengagehitch;
using namespace greengagehitch::standin;

namespace {

struct document_exchange_fixture {
    document_exchange_fixture()
    {
        fleet.clock().run_for(4s);
        fleet.vm(0).documents().set_source(document_kind::configuration,
                                           [] { return std::string("content"); });
    }

    /// Lets VM 1 ask VM 0 for a document and runs the clock until the request has ended.
    std::optional<std::string> request(document_kind kind)
    {
        std::optional<std::string> received;
        auto calls = 0;
        fleet.vm(1).documents().request(kind, "vm-0", [&](std::optional<std::string> const& content) {
            received = content;
            ++calls;
        });
        fleet.clock().run_for(3s);
        cr_assert(calls == 1, "%d callbacks", calls);
        return received;
    }

    session_fleet fleet{{}, 1};
};

} // namespace

Test(document_exchange, copy_of_a_peer_arrives_whole)
{
    document_exchange_fixture fixture;
    cr_assert(fixture.request(document_kind::configuration) == "content");
}

Test(document_exchange, peer_without_a_copy_gives_no_document)
{
    document_exchange_fixture fixture;
    cr_assert(!fixture.request(document_kind::member_directory));
}

/// A VM that is cut off from the peer must learn that it has to read the store itself.
Test(document_exchange, unreachable_peer_ends_the_request)
{
    document_exchange_fixture fixture;
    fixture.fleet.set_peer_cut(0, true);
    cr_assert(!fixture.request(document_kind::configuration));
}
