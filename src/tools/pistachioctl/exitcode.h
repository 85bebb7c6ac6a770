#pragma once

namespace Pistachio::Pistachioctl
{

/// The exit codes that scripts can rely on; docs/OPERATIONS.md lists them.
enum class ExitCode : int {
    Done = 0,
    Usage = 2, ///< the command line or a local file can't be used
    Invalid = 3, ///< the sheet, configuration or settings file has errors
    Conflict = 4, ///< another change came first
    NotFound = 5,
    Unavailable = 6, ///< no control instance could serve the request; nothing was changed
    ResultUnknown = 7, ///< repeat with the same request id
    Unauthorized = 8,
    Refused = 9, ///< by a rule of the cell, such as a quota
};

} // namespace Pistachio::Pistachioctl
