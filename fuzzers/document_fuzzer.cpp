#include <cstdint>
#include <string>

#include "base/verify.h"

#include "platform/document_decoder.h"
#include "platform/store_client.h"

using namespace greengagehitch;

/// Decodes arbitrary bytes as a member's entry, as the configuration, and as an answer of the platform's
/// store.
extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data, std::size_t size) // NOLINT
{
    std::string const bytes(reinterpret_cast<char const*>(data), size); // NOLINT
    auto const member = document_decoder::try_decode_member("member", bytes, {1, 1});
    VERIFY(!member.ok() || (member->address.port != 0 && member->slots != 0));
    static_cast<void>(document_decoder::try_decode_configuration(bytes));
    static_cast<void>(document_decoder::check_evacuation("zone", bytes));
    http_response answer;
    answer.status = 200;
    answer.body = bytes;
    static_cast<void>(try_parse_rows(answer));
    static_cast<void>(try_parse_written_version(answer));
    return 0;
}
