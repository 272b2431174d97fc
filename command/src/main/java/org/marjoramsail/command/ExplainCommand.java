package org.marjoramsail.command;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.Examples;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.marjoramsail.command.explain.RequestExplanation;

/** Prints the way of one request from the logs of daemons. */
@Command(
    name = "explain",
    description = "Prints the way of one request, and what was believed, from daemons' logs.")
@Examples(
    examples = "marjoramsail explain 9c41d07be2a35f68 host-1.log host-2.log",
    descriptions = "What became of a request that its caller names so")
public final class ExplainCommand implements CommandAction {

  private static final String WORDS = "REQUEST FILE...";

  @Arguments(
      title = WORDS,
      description = "the request's identifier or its beginning, and log files in JSON")
  private List<String> words = new ArrayList<>();

  @Override
  public ExitCode run(Surroundings surroundings) throws UsageException {
    if (words.size() < 2) {
      throw new UsageException(WORDS, String.join(" ", words), "an identifier and log files");
    }
    RequestExplanation explanation = new RequestExplanation();
    for (String file : words.subList(1, words.size())) {
      try {
        explanation.add(Path.of(file));
      } catch (IOException failure) {
        throw new UsageException(WORDS, file, "files that can be read");
      }
    }
    List<String> lines = explanation.of(words.get(0));
    if (lines.isEmpty()) {
      surroundings
          .errors()
          .printf(
              "%s: none of %d lines is about it; ordinary requests are written one in %d%n",
              words.get(0), explanation.lines(), RequestExplanation.SAMPLE);
      return ExitCode.FAILURE;
    }
    lines.forEach(surroundings.output()::println);
    return ExitCode.OK;
  }
}
