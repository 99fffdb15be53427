#pragma once

#include <string_view>

#include <json/value.h>

namespace greengagehitch {

/// Component of an entry VM that other components find by its name. Services are constructed in any order;
/// start() is called once all of them are registered.
class service {
public:
    service() = default;
    service(service const&) = delete;
    service& operator=(service const&) = delete;
    service(service&&) = delete;
    service& operator=(service&&) = delete;
    virtual ~service() = default;

    virtual std::string_view name() const = 0;
    virtual void start() {}

    /// Returns the state of the service for operators. The state is bounded in size and never contains a key.
    virtual Json::Value dump() const { return Json::Value(Json::objectValue); }
};

} // namespace greengagehitch
