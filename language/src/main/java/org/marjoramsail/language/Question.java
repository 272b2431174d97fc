package org.marjoramsail.language;

import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.marjoramsail.core.model.RequestId;

/** Asks for something and changes nothing. */
public sealed interface Question extends Statement permits Question.Show, Question.Explain {

  /**
   * Lists what there is of a subject.
   *
   * @param subject what is listed
   * @param of the service to which the list is confined
   * @param conditions which rows are listed; all must hold
   */
  record Show(Subject subject, Optional<String> of, List<Condition> conditions)
      implements Question {

    /** Copies the list, so that the value cannot change. */
    public Show {
      conditions = List.copyOf(conditions);
    }

    @Override
    public String canonical() {
      String confined = of.map(name -> " of " + Words.quoted(name)).orElse("");
      String where =
          conditions.stream().map(Condition::canonical).collect(Collectors.joining(" and "));
      return "show " + subject.code() + confined + (where.isEmpty() ? "" : " where " + where);
    }
  }

  /**
   * Tells where a request is, how it got there, and what it waits for.
   *
   * @param request the request
   */
  record Explain(RequestId request) implements Question {

    @Override
    public String canonical() {
      return "explain request " + Words.quoted(request.value());
    }
  }
}
