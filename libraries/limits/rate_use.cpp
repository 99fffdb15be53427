#include "limits/rate_use.h"

namespace greengagehitch {

rate_use& rate_use::operator+=(rate_use const& other)
{
    admitted += other.admitted;
    refused += other.refused;
    borrowed += other.borrowed;
    lent += other.lent;
    unserved += other.unserved;
    return *this;
}

void rate_use::add_to(Json::Value& fields) const
{
    fields["admitted"] = Json::UInt64(admitted);
    fields["refused"] = Json::UInt64(refused);
    fields["borrowed"] = Json::UInt64(borrowed);
    fields["lent"] = Json::UInt64(lent);
    fields["unserved"] = Json::UInt64(unserved);
}

} // namespace greengagehitch
