// What all stand-ins share: settings file, journal file, JSON answers, and running until a signal.
#pragma once

#include "http/json_func.h"
#include "http/server_base.h"

#include <cstdint>
#include <cstdio>
#include <functional>
#include <string>

namespace mimosapier::standin
{

// Reads a YAML (or JSON) file. Returns false and prints the reason to stderr when it cannot be read.
bool loadSettings(const std::string &path, Json &settings);

// Wall-clock time in nanoseconds, comparable between processes of one machine.
std::int64_t wallNanoseconds();

// File of JSON lines; each line is handed to the operating system before add() returns.
class JournalFile
{
public:
    JournalFile() = default;
    JournalFile(const JournalFile &) = delete;
    JournalFile &operator=(const JournalFile &) = delete;
    ~JournalFile();

    // Creates the file anew. Returns false when that fails. Without a file, add() does nothing.
    bool open(const std::string &path);
    void add(const Json &line);

private:
    std::FILE *file_ = nullptr;
};

// Answers with a JSON body.
void respondJson(const HttpResponder &respond, const Json &body, unsigned status = 200);

// Answers 400 or 404 with an error name.
void respondError(const HttpResponder &respond, unsigned status, const char *error);

// Parses the body as a JSON object; answers 400 and returns false when it is none. An empty body is an empty object.
bool readBody(const HttpRequest &request, const HttpResponder &respond, Json &body);

// Listens or prints the error to stderr and returns false.
bool listenOrReport(HttpServer &server, const std::string &address, const char *name);

// Text of a field, or the fallback when it is missing or not a text; numbers likewise.
std::string textOr(const Json &object, const char *name, const std::string &fallback);
std::int64_t numberOr(const Json &object, const char *name, std::int64_t fallback);
double realOr(const Json &object, const char *name, double fallback);
bool flagOr(const Json &object, const char *name, bool fallback);

// Runs `start` with the settings file named on the command line, then the io_context until SIGTERM or SIGINT or until
// the context is stopped. `start` returns an object that lives as long as the program runs, or nullptr to fail.
int runProgram(int argc, char **argv, const char *name,
               const std::function<std::shared_ptr<void>(boost::asio::io_context &, const Json &)> &start);

} // namespace mimosapier::standin
