package org.marjoramsail.command.operator;

import java.util.List;
import org.jline.reader.Candidate;
import org.jline.reader.Completer;
import org.jline.reader.LineReader;
import org.jline.reader.ParsedLine;
import org.marjoramsail.language.Completion;
import org.marjoramsail.language.NameSource;
import org.marjoramsail.language.StatementParser;

/** Proposes how a line goes on, as the language's parser knows it. */
public final class StatementCompleter implements Completer {

  private final StatementParser parser;
  private final NameSource names;

  /** Creates an instance with the parser and the names that there are. */
  public StatementCompleter(StatementParser parser, NameSource names) {
    this.parser = parser;
    this.names = names;
  }

  @Override
  public void complete(LineReader reader, ParsedLine line, List<Candidate> candidates) {
    Completion completion = parser.complete(line.line(), line.cursor(), names);
    // The terminal replaces its own word, which may begin before the language's, as in "[a,b".
    int wordStart = Math.min(line.cursor() - line.wordCursor(), completion.start());
    String kept = line.line().substring(wordStart, completion.start());
    completion.candidates().forEach(word -> candidates.add(new Candidate(kept + word)));
  }
}
