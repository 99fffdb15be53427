#pragma once

#include <string_view>

#include <json/value.h>

namespace greengagehitch {

/// One part of an entry VM, found by its name. Services are constructed in any order; start() runs once all
/// of them are registered.
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

    /// State for operators. Bounded in size, and never holds a key.
    virtual Json::Value dump() const { return Json::Value(Json::objectValue); }
};

} // namespace greengagehitch
