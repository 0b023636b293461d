// result<T> holds either a value or an error.
//
//   result<config_document> loaded = ParseConfig(text);
//   if (!IsOk(loaded)) {
//     return GetError(loaded);
//   }
//   Use(GetValue(loaded));

#ifndef FOXTAILQUAY_RESULT_H
#define FOXTAILQUAY_RESULT_H

#include <utility>
#include <variant>

#include "foxtailquay/error.h"

namespace foxtailquay {

// A value of type T or an error.
template<typename T>
using result = std::variant<T, error>;

// The value of an operation that returns nothing on success.
using success = std::monostate;

// Returns true if aResult holds a value.
template<typename T>
bool IsOk(const result<T>& aResult)
{
  return aResult.index() == 0;
}

// Returns the value. Precondition: IsOk(aResult).
template<typename T>
const T& GetValue(const result<T>& aResult)
{
  return std::get<0>(aResult);
}

// Moves the value out. Precondition: IsOk(aResult).
template<typename T>
T&& GetValue(result<T>&& aResult)
{
  return std::get<0>(std::move(aResult));
}

// Returns the error. Precondition: !IsOk(aResult).
template<typename T>
const error& GetError(const result<T>& aResult)
{
  return std::get<1>(aResult);
}

} // namespace foxtailquay

#endif
