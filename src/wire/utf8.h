// Checks whether bytes are UTF-8, the only encoding that JSON strings allow.

#ifndef FOXTAILQUAY_WIRE_UTF8_H
#define FOXTAILQUAY_WIRE_UTF8_H

#include <string_view>

namespace foxtailquay {

// Returns whether aText is well-formed UTF-8. Takes time linear in the size of
// aText; safe on any thread.
bool IsUtf8(std::string_view aText);

} // namespace foxtailquay

#endif
