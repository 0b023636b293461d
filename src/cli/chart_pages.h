// The Markdown page of all charts in a folder.
//
// Reads the folder; safe on any thread.

#ifndef FOXTAILQUAY_CLI_CHART_PAGES_H
#define FOXTAILQUAY_CLI_CHART_PAGES_H

#include <string>

#include "cli/exit_code.h"

namespace foxtailquay {

// Checks every *.yaml file in aFolder and renders them, ordered by file name.
// Errors: usage error with file and line for a chart that cannot be run.
cli_result<std::string> RenderCharts(const std::string& aFolder);

} // namespace foxtailquay

#endif
