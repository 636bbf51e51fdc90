import * as ohm from 'ohm-js';

/** Grammar of the operators' language. docs/operate/language.md has examples. */
export const grammar = ohm.grammar(String.raw`
	Damaskspool {
		Statement = Query | Command
		Query = query Source Where? Clauses
		Clauses = Group? Order? Limit?
		Source = word
		Where = where Or
		Or = Or or And  -- or
		   | And
		And = And and Not  -- and
		    | Not
		Not = not Not  -- not
		    | Primary
		Primary = "(" Or ")"  -- group
		        | word comparison Value  -- compare
		Group = group by NonemptyListOf<word, ",">
		Order = order by NonemptyListOf<Ordering, ",">
		Ordering = word descending?
		Limit = limit integer
		Command = verb thing Object Option*
		Object = ~belonging word Belonging?  -- named
		       | Belonging  -- unnamed
		Belonging = belonging word
		Option = word "=" NonemptyListOf<Value, ",">
		Value = number | quoted | boolean | word

		query = "query" ~wordPart
		where = "where" ~wordPart
		or = "or" ~wordPart
		and = "and" ~wordPart
		not = "not" ~wordPart
		group = "group" ~wordPart
		by = "by" ~wordPart
		order = "order" ~wordPart
		descending = ("desc" | "asc") ~wordPart
		limit = "limit" ~wordPart
		verb = ("create" | "change" | "withdraw" | "drain") ~wordPart
		thing = ("customer" | "key" | "service" | "model" | "target") ~wordPart
		belonging = ("for" | "of" | "in" | "from") ~wordPart
		keyword = where | or | and | not | group | order | limit
		comparison = "!=" | "<=" | ">=" | "=" | "<" | ">" | "~"
		boolean = ("true" | "false") ~wordPart
		integer = digit+ ~wordPart
		number = "-"? digit+ ("." digit+)? ~wordPart
		quoted = "\"" (~"\"" any)* "\""
		word = ~keyword wordPart+
		wordPart = alnum | "-" | "_" | "." | "/" | ":" | "@"
	}
`);
