#include <memory>
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "adapters/peer_channels.h"

using namespace std::chrono_literals;
using namespace greengagehitch;

namespace {

/// Two VMs with a channel from the first one to the second one.
struct channel_pair {
    channel_pair() : caller(loop, "secret"), broker(loop, "secret")
    {
        caller.set_events(
            {[](channel_id, std::string const&) {}, [](channel_id) {},
             [this](std::string const&, std::string const& reply) { replies.push_back(reply.size()); },
             [this](std::string const&, bool) { ++losses; }});
        broker.set_events({[this](channel_id from, std::string const& request) {
                               requests.push_back(request.size());
                               broker.hooks().reply(from, std::string(reply_size, 'x'));
                           },
                           [](channel_id) {}, [](std::string const&, std::string const&) {},
                           [](std::string const&, bool) {}});
        // The port is taken from the kernel by a listener that is closed at once.
        reactor probe_loop;
        tcp_acceptor probe(probe_loop, [](std::shared_ptr<tcp_stream> const&) {});
        cr_assert(probe.try_listen({"127.0.0.1", 0}).ok());
        address = {"127.0.0.1", probe.port()};
        probe.stop_listening();
        cr_assert(broker.try_listen(address).ok());
    }

    void send(std::size_t size) { caller.hooks().send("broker", address, std::string(size, 'q')); }

    void run_for(duration time)
    {
        for (auto const end = loop.now() + time; loop.now() < end;) {
            loop.run_once(5ms);
        }
    }

    reactor loop;
    endpoint address;
    std::size_t reply_size = 1;
    std::vector<std::size_t> requests;
    std::vector<std::size_t> replies;
    int losses = 0;
    peer_channels caller;
    peer_channels broker;
};

} // namespace

/// Guards against the loss of every pending request to a broker because of one: an answer of five rows of the
/// largest size is written to a channel whose reader refuses it and ends the channel.
Test(peer_channels, answer_with_rows_of_the_largest_size_does_not_end_the_channel)
{
    channel_pair channels;
    channels.reply_size = 5UL * 1024 * 1024;
    channels.send(10);
    channels.run_for(1s);
    cr_expect(channels.losses == 0, "the channel was lost %d times", channels.losses);
    cr_expect(channels.replies == std::vector<std::size_t>{channels.reply_size});
}

/// Guards against the same for a request, which holds all values of its caller's session.
Test(peer_channels, request_with_values_of_the_largest_size_does_not_end_the_channel)
{
    channel_pair channels;
    channels.send(10);
    channels.run_for(300ms);
    cr_assert(channels.replies.size() == 1 && channels.losses == 0);
    channels.send(5UL * 1024 * 1024);
    channels.run_for(1s);
    cr_expect(channels.losses == 0, "the channel was lost %d times", channels.losses);
    cr_expect(channels.requests.size() == 2);
}
