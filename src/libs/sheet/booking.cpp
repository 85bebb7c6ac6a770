#include "sheet/booking.h"

namespace Pistachio::Sheet
{

std::string_view toString(WorkKind kind)
{
    switch (kind) {
    case WorkKind::Service:
        return "service";
    case WorkKind::Batch:
        return "batch";
    case WorkKind::Together:
        return "together";
    }
    return "invalid";
}

std::string_view toString(Standing standing)
{
    switch (standing) {
    case Standing::Urgent:
        return "urgent";
    case Standing::Promised:
        return "promised";
    case Standing::Normal:
        return "normal";
    case Standing::Spare:
        return "spare";
    }
    return "invalid";
}

} // namespace Pistachio::Sheet
