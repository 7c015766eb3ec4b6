// Code shared by the stand-in programs: settings file, journal file, JSON answers, and the main loop, which runs until
// a signal. Every stand-in runs on the main thread only.
#pragma once

#include "http/json_func.h"
#include "http/server_base.h"

#include <cstdint>
#include <cstdio>
#include <functional>
#include <string>

namespace mimosapier::standin
{

// Reads a YAML or JSON file. Returns false and prints the error to stderr when it cannot be read or is not a map.
bool loadSettings(const std::string &path, Json &settings);

// Wall-clock time in nanoseconds since the Unix epoch; comparable between processes of one machine.
std::int64_t wallNanoseconds();

// File with one JSON object per line. Each line is passed to the operating system before add() returns, so no line is
// lost when the process is killed.
class JournalFile
{
public:
    JournalFile() = default;
    JournalFile(const JournalFile &) = delete;
    JournalFile &operator=(const JournalFile &) = delete;
    ~JournalFile();

    // Creates or truncates the file. Returns false and prints the error to stderr when that fails. Without an open
    // file, add() does nothing.
    bool open(const std::string &path);
    void add(const Json &line);

private:
    std::FILE *file_ = nullptr;
};

// Sends an answer with a JSON body.
void respondJson(const HttpResponder &respond, const Json &body, unsigned status = 200);

// Sends an answer with the status and the body {"error": error}.
void respondError(const HttpResponder &respond, unsigned status, const char *error);

// Parses the request body as a JSON object. An empty body gives an empty object. For any other body, answers 400 and
// returns false.
bool readBody(const HttpRequest &request, const HttpResponder &respond, Json &body);

// Binds the server to the address ("IP:port"). Returns false and prints the error to stderr, after the program's name,
// when that fails.
bool listenOrReport(HttpServer &server, const std::string &address, const char *name);

// Value of a field, or the fallback when the field is missing or has another type.
std::string textOr(const Json &object, const char *name, const std::string &fallback);
std::int64_t numberOr(const Json &object, const char *name, std::int64_t fallback);
double realOr(const Json &object, const char *name, double fallback);
bool flagOr(const Json &object, const char *name, bool fallback);

// Main function of the stand-ins. Reads the settings file given by --config, calls `start`, prints "NAME: ready" and
// runs the io_context on the calling thread until SIGTERM, SIGINT or io_context::stop(). `start` returns an object that
// is kept alive until then, or nullptr on failure. Returns the exit status: 2 for wrong arguments or settings, 1 when
// `start` failed, otherwise 0.
int runProgram(int argc, char **argv, const char *name,
               const std::function<std::shared_ptr<void>(boost::asio::io_context &, const Json &)> &start);

} // namespace mimosapier::standin
