#pragma once

#include <nlohmann/json_fwd.hpp>

#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

namespace Pistachio::Pistachioctl
{

/// \param title the first row
/// \param rows the other rows, each as long as the title
/// \return lines with aligned columns.
std::string tableText(const std::vector<std::string> &title, const std::vector<std::vector<std::string>> &rows);

/// \param list a JSON array of objects
/// \param keys the keys to show, in this order
/// \return lines with aligned columns; a key that an object lacks is shown as an empty cell.
std::string tableText(const nlohmann::json &list, std::initializer_list<std::string_view> keys);

/// \param object any JSON value; what another program answered may have another form than expected
/// \param key a key
/// \return the value of the key, or null.
nlohmann::json member(const nlohmann::json &object, const std::string &key);

/// \param value a JSON value
/// \return the text of it, without quotes around a string.
std::string cellText(const nlohmann::json &value);

} // namespace Pistachio::Pistachioctl
