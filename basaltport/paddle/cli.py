VERBS = {}
