#include "base/base64.h"

#include <sstream>

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/StreamCopier.h>

namespace greengagehitch {

std::string decode_base64(std::string const& text)
{
    std::istringstream input(text);
    Poco::Base64Decoder decoder(input);
    std::string bytes;
    Poco::StreamCopier::copyToString(decoder, bytes);
    return bytes;
}

std::string encode_base64(std::string const& bytes)
{
    std::ostringstream output;
    Poco::Base64Encoder encoder(output);
    encoder.rdbuf()->setLineLength(0);
    encoder << bytes;
    encoder.close();
    return output.str();
}

} // namespace greengagehitch
