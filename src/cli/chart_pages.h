// Renders the state charts in a folder as a Markdown page.
//
// Reads files only; safe on any thread.

#ifndef FOXTAILQUAY_CLI_CHART_PAGES_H
#define FOXTAILQUAY_CLI_CHART_PAGES_H

#include <string>

#include "cli/exit_code.h"

namespace foxtailquay {

// Parses every *.yaml file in aFolder and returns the page of all charts,
// ordered by file name. Errors: Usage if there is no such file; Usage with file
// and line if a chart is not valid.
cli_result<std::string> RenderCharts(const std::string& aFolder);

} // namespace foxtailquay

#endif
