#pragma once

#include <memory>
#include <stdexcept>
#include <string>

#include <json/value.h>

namespace greengagehitch {

/// Error that the daemon answered, or that the connection gave.
class operator_error : public std::runtime_error {
public:
    operator_error(int code, std::string const& message) : std::runtime_error(message), m_code(code) {}

    /// Code of JSON-RPC 2.0, or of this product.
    int code() const { return m_code; }

private:
    int m_code;
};

/// Calls the operators' side of one daemon. Its source alone is compiled as C++14, since the client headers
/// of libjsonrpccpp use exception specifications that later standards dropped.
class operator_client {
public:
    operator_client(std::string const& url, std::string const& token);
    ~operator_client();
    operator_client(operator_client const&) = delete;
    operator_client& operator=(operator_client const&) = delete;
    operator_client(operator_client&&) = delete;
    operator_client& operator=(operator_client&&) = delete;

    /// Returns the result; throws operator_error on an error.
    Json::Value call(std::string const& method, Json::Value const& parameters);

private:
    struct connection;

    std::unique_ptr<connection> m_connection;
};

} // namespace greengagehitch
