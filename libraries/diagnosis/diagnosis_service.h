#pragma once

#include <map>
#include <memory>
#include <string>

#include "kernel/kernel.h"
#include "request/request_context.h"

namespace greengagehitch {

/// Collects statistics of each class of work, to compare with its targets: latencies, refusals and the time
/// spent in each stage of a request.
class diagnosis_service : public service {
public:
    static constexpr std::string_view service_name = "diagnosis";

    explicit diagnosis_service(kernel& kernel);
    ~diagnosis_service() override;
    diagnosis_service(diagnosis_service const&) = delete;
    diagnosis_service& operator=(diagnosis_service const&) = delete;
    diagnosis_service(diagnosis_service&&) = delete;
    diagnosis_service& operator=(diagnosis_service&&) = delete;

    std::string_view name() const override { return service_name; }
    Json::Value dump() const override;

    /// Records a finished request.
    void record(request_context& request, caller_response const& response);

private:
    struct class_statistics;

    kernel& m_kernel;
    std::map<std::string, std::unique_ptr<class_statistics>> m_classes; ///< Keyed by class name.
};

} // namespace greengagehitch
