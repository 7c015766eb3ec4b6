// Settings, journal files, JSON answers and the main loop of the stand-in programs.
#include "standin/program_func.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <yaml-cpp/yaml.h>

#include <chrono>
#include <csignal>

namespace mimosapier::standin
{

static Json toJson(const YAML::Node &node)
{
    if (node.IsMap()) {
        Json object = Json::object();
        for (const auto &pair : node) {
            object[pair.first.as<std::string>()] = toJson(pair.second);
        }
        return object;
    }
    if (node.IsSequence()) {
        Json list = Json::array();
        for (const auto &item : node) {
            list.push_back(toJson(item));
        }
        return list;
    }
    if (!node.IsScalar()) {
        return nullptr;
    }
    if (node.Tag() == "!") {
        return node.Scalar(); // quoted
    }
    Json value;
    if (parseJson(node.Scalar(), value) && value.is_primitive()) {
        return value;
    }
    return node.Scalar();
}

bool loadSettings(const std::string &path, Json &settings)
{
    try {
        settings = toJson(YAML::LoadFile(path));
    } catch (const YAML::Exception &error) {
        std::fprintf(stderr, "%s: %s\n", path.c_str(), error.what());
        return false;
    }
    if (!settings.is_object()) {
        std::fprintf(stderr, "%s: the settings are not a YAML map\n", path.c_str());
        return false;
    }
    return true;
}

std::int64_t wallNanoseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::nanoseconds>(now).count();
}

JournalFile::~JournalFile()
{
    if (file_ != nullptr) {
        std::fclose(file_);
    }
}

bool JournalFile::open(const std::string &path)
{
    file_ = std::fopen(path.c_str(), "w");
    if (file_ == nullptr) {
        std::fprintf(stderr, "%s: cannot create the journal file\n", path.c_str());
    }
    return file_ != nullptr;
}

void JournalFile::add(const Json &line)
{
    if (file_ == nullptr) {
        return;
    }
    const std::string text = dumpJson(line) + "\n";
    std::fwrite(text.data(), 1, text.size(), file_);
    std::fflush(file_);
}

void respondJson(const HttpResponder &respond, const Json &body, unsigned status)
{
    respond({status, dumpJson(body), "application/json"});
}

void respondError(const HttpResponder &respond, unsigned status, const char *error)
{
    respondJson(respond, {{"error", error}}, status);
}

bool readBody(const HttpRequest &request, const HttpResponder &respond, Json &body)
{
    body = Json::object();
    if (request.body_.empty() || (parseJson(request.body_, body) && body.is_object())) {
        return true;
    }
    respondError(respond, 400, "malformed-request");
    return false;
}

bool listenOrReport(HttpServer &server, const std::string &address, const char *name)
{
    const std::error_code error = server.listen(address);
    if (error) {
        std::fprintf(stderr, "%s: cannot listen on %s: %s\n", name, address.c_str(), error.message().c_str());
    }
    return !error;
}

std::string textOr(const Json &object, const char *name, const std::string &fallback)
{
    std::string value = fallback;
    readField(object, name, value);
    return value;
}

std::int64_t numberOr(const Json &object, const char *name, std::int64_t fallback)
{
    std::int64_t value = fallback;
    readField(object, name, value);
    return value;
}

double realOr(const Json &object, const char *name, double fallback)
{
    double value = fallback;
    readField(object, name, value);
    return value;
}

bool flagOr(const Json &object, const char *name, bool fallback)
{
    bool value = fallback;
    readField(object, name, value);
    return value;
}

int runProgram(int argc, char **argv, const char *name,
               const std::function<std::shared_ptr<void>(boost::asio::io_context &, const Json &)> &start)
{
    if (argc != 3 || std::string_view(argv[1]) != "--config") {
        std::fprintf(stderr, "usage: %s --config FILE\n", name);
        return 2;
    }
    Json settings;
    if (!loadSettings(argv[2], settings)) {
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    boost::asio::io_context context(1);
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](const boost::system::error_code &, int) { context.stop(); });
    const std::shared_ptr<void> program = start(context, settings);
    if (!program) {
        return 1;
    }
    std::printf("%s: ready\n", name);
    std::fflush(stdout);
    context.run();
    return 0;
}

} // namespace mimosapier::standin
