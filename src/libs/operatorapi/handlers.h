#pragma once

#include "operatorapi/operatorapi.h"

#include <string>

/// One function for each operation of the operator port.
namespace Pistachio::Operatorapi::Internal
{

struct Context;

Handling applySheet(const Context &context);
Handling listSheets(const Context &context);
Handling showSheet(const Context &context, const std::string &version);

Handling listBookings(const Context &context);
Handling showBooking(const Context &context, const std::string &booking);
Handling explainBooking(const Context &context, const std::string &booking);
Handling cancelBookings(const Context &context);

Handling showConfiguration(const Context &context);
Handling setConfiguration(const Context &context);

Handling listWorkers(const Context &context);
Handling drainWorker(const Context &context, const std::string &worker);
Handling resumeWorker(const Context &context, const std::string &worker);
Handling listInstances(const Context &context);
Handling addInstance(const Context &context);
Handling replaceInstance(const Context &context, const std::string &instance);
Handling showStatus(const Context &context);

} // namespace Pistachio::Operatorapi::Internal
