#pragma once

#include <memory>
#include <stdexcept>
#include <string>

#include <json/value.h>

namespace greengagehitch {

/// Error that the daemon returned or that occurred on the connection to it.
class operator_error : public std::runtime_error {
public:
    operator_error(int code, std::string const& message) : std::runtime_error(message), m_code(code) {}

    /// Error code, defined by JSON-RPC 2.0 or by greengagehitch.
    int code() const { return m_code; }

private:
    int m_code;
};

/// Client for the operator endpoint of one daemon. Its source file is the only one that is compiled as C++14,
/// because the client headers of libjsonrpccpp use dynamic exception specifications, which later standards
/// removed.
class operator_client {
public:
    operator_client(std::string const& url, std::string const& token);
    ~operator_client();
    operator_client(operator_client const&) = delete;
    operator_client& operator=(operator_client const&) = delete;
    operator_client(operator_client&&) = delete;
    operator_client& operator=(operator_client&&) = delete;

    /// Returns the result of the call. Throws operator_error if the call fails.
    Json::Value call(std::string const& method, Json::Value const& parameters);

private:
    struct connection;

    std::unique_ptr<connection> m_connection;
};

} // namespace greengagehitch
