// Tells text from other bytes: JSON strings can hold only UTF-8.

#ifndef FOXTAILQUAY_WIRE_UTF8_H
#define FOXTAILQUAY_WIRE_UTF8_H

#include <string_view>

namespace foxtailquay {

// True if aText is well-formed UTF-8. Linear in its size; any thread.
bool IsUtf8(std::string_view aText);

} // namespace foxtailquay

#endif
