/// Runs an experiment: starts the processes of a deployment, applies the load
/// and faults of a scenario, and reports the outcomes of the requests.
#include "clementine_load/output/report.h"
#include "clementine_load/run/experiment.h"
#include "clementine_load/run/interrupt_guard.h"

#include <tclap/CmdLine.h>

#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace {

using namespace clementine::load;

constexpr int ExitFailure = 1;
constexpr int ExitBadUsage = 2;
constexpr int ExitIncorrect = 3;

/// The time limit for every operation to be served after the start.
constexpr std::chrono::seconds ReadyTimeout(30);

/// The options of the command line.
struct options {
  std::string Deployment;
  std::string Scenario;
  std::string Report;
  std::string Prepare;
  std::string Accept;
  run_folders Folders;
};

std::string readFile(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    throw start_error("cannot read file: " + Path);
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

template <class Value>
Value require(clementine::result<Value, description_error> Read,
              const std::string &Path) {
  if (!Read)
    throw start_error(Path + ": " + Read.error().text());
  return std::move(Read.value());
}

/// Runs a hook program and waits for its end.
/// @throws start_error if it fails or times out.
void runHook(const std::string &Hook, const std::vector<std::string> &Arguments,
             const std::string &LogPath) {
  constexpr std::chrono::seconds HookTimeout(30);
  if (Hook.empty())
    return;
  std::vector<std::string> Command = {Hook};
  Command.insert(Command.end(), Arguments.begin(), Arguments.end());
  process_group Hooks;
  if (!Hooks.start("hook", Command, LogPath) ||
      Hooks.await("hook", HookTimeout) != 0)
    throw start_error("hook failed: " + Hook + "; see " + LogPath);
}

void writeReports(const std::string &Stem, const scenario &Scenario,
                  const measurement &Result) {
  std::ofstream(Stem + ".txt") << formatTable(Scenario, Result);
  std::ofstream(Stem + ".json") << formatJson(Scenario, Result);
  std::ofstream(Stem + ".csv") << formatCsv(Result);
  std::ofstream(Stem + ".svg") << formatSvg(Scenario, Result);
}

node_keys readKeys(const std::string &Work) {
  node_keys Keys{"sample:AQIDBAUGBwgJCgsMDQ4PEBESExQVFhcYGRobHB0eHyA=",
                 "sample:4a/WhdASm0hUXRCW+cL3XW1IiByuqTCXLYxv68sZjcQ="};
  std::ifstream File(Work + "/trusted-key");
  std::getline(File, Keys.TrustedKey);
  return Keys;
}

/// Prints the progress of the run with the elapsed time.
class progress_log {
public:
  void step(const std::string &Message) const {
    const std::chrono::duration<double> Elapsed =
        std::chrono::steady_clock::now() - Begin;
    std::cout << "load: " << std::fixed << std::setprecision(1)
              << Elapsed.count() << " s: " << Message << std::endl;
  }

private:
  const std::chrono::steady_clock::time_point Begin =
      std::chrono::steady_clock::now();
};

int runScenario(const options &Options) {
  const progress_log Progress;
  const auto Deployment =
      require(readDeployment(readFile(Options.Deployment)), Options.Deployment);
  const auto Scenario =
      require(readScenario(readFile(Options.Scenario)), Options.Scenario);
  const std::string &Work = Options.Folders.Work;
  std::filesystem::create_directories(Work);
  const std::string HookLog = Work + "/hooks.log";
  runHook(Options.Prepare, {Work}, HookLog);
  running_deployment Running(Deployment, Options.Folders, readKeys(Work),
                             Scenario.Seed);
  const interrupt_guard Guard([&Running] { Running.kill(); });
  Progress.step("starting " + Deployment.Name);
  Running.startPlatform();
  Running.startInstances();
  runHook(Options.Accept,
          {Work, "http://" + Deployment.platformEndpoint().text(),
           (std::filesystem::path(Options.Deployment).parent_path() /
            Deployment.Bundle.Text)
               .string()},
          HookLog);
  Progress.step("started; waiting until every operation is served");
  const std::string NotReady =
      Running.awaitReady(Scenario.Streams, ReadyTimeout);
  if (!NotReady.empty()) {
    (void)Running.stop();
    throw start_error("deployment not ready within the time limit: " +
                      NotReady);
  }
  Progress.step("every operation is served; starting the load");
  const auto Raw = runExperiment(Deployment, Scenario, Running);
  Progress.step("the load has ended; stopping all processes");
  for (const std::string &Name : Running.stop())
    std::cout << "killed after the stop timeout: " << Name << '\n';
  Progress.step("stopped; measuring");
  std::size_t Malformed = 0;
  const auto Runs = Running.readJournals(Malformed);
  const auto Result =
      measure(Scenario, Deployment, Raw.Begin, Raw.Requests, Runs);
  std::cout << formatTable(Scenario, Result);
  if (Malformed > 0)
    std::cout << "malformed journal lines                 " << Malformed
              << '\n';
  if (!Options.Report.empty()) {
    writeReports(Options.Report, Scenario, Result);
    std::ofstream(Options.Report + "-sends.csv")
        << formatSends(Scenario, Raw.Begin, Raw.Requests);
  }
  return Result.isCorrect() ? 0 : ExitIncorrect;
}

} // namespace

int main(int Count, char **Values) try {
  TCLAP::CmdLine Line(
      "Runs an experiment on a deployment. Exit codes: 0 success, 1 "
      "failure, 2 wrong usage, 3 a request answered with \"not run\" had run, "
      "a non-repeatable request ran twice, or an answer went to the wrong "
      "caller.",
      ' ', CLEMENTINE_VERSION);
  TCLAP::ValueArg<std::string> Deployment(
      "", "deployment", "description of the deployment", true, "", "FILE");
  TCLAP::ValueArg<std::string> Scenario(
      "", "scenario", "description of the scenario", true, "", "FILE");
  TCLAP::ValueArg<std::string> Programs("", "programs",
                                        "folder of the built programs", false,
                                        "build/bin", "FOLDER");
  TCLAP::ValueArg<std::string> Work("", "work",
                                    "folder for settings, logs and journals",
                                    false, "build/run", "FOLDER");
  TCLAP::ValueArg<std::string> Report(
      "", "report", "writes FILE.txt, .json, .csv, .svg and -sends.csv", false,
      "", "FILE");
  TCLAP::ValueArg<std::string> Prepare(
      "", "prepare", "program to run first; its argument is the work folder",
      false, "", "PROGRAM");
  TCLAP::ValueArg<std::string> Accept(
      "", "accept",
      "program to run after the nodes have started; its arguments are the work "
      "folder, the platform's URL and the file of the bundle's text",
      false, "", "PROGRAM");
  TCLAP::ValueArg<std::string> Extra(
      "", "node-settings",
      "file that is appended to the settings of every node", false, "", "FILE");
  for (TCLAP::Arg *Option : std::initializer_list<TCLAP::Arg *>{
           &Deployment, &Scenario, &Programs, &Work, &Report, &Prepare, &Accept,
           &Extra})
    Line.add(Option);
  Line.parse(Count, Values);
  return runScenario(
      {Deployment.getValue(),
       Scenario.getValue(),
       Report.getValue(),
       Prepare.getValue(),
       Accept.getValue(),
       {Programs.getValue(), Work.getValue(),
        Extra.getValue().empty() ? "" : readFile(Extra.getValue())}});
} catch (const std::exception &Error) {
  std::cerr << "load: " << Error.what() << '\n';
  return ExitFailure;
}
