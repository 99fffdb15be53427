#include "brokers/member_request.h"

namespace greengagehitch {

member_reply make_failed_reply(std::size_t commands, member_error error, std::string const& text)
{
    member_reply reply;
    member_answer answer;
    answer.error = error;
    answer.error_text = text;
    reply.answers.assign(commands, answer);
    return reply;
}

} // namespace greengagehitch
