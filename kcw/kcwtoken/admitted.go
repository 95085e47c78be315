package kcwtoken

// admittedParameters lists the parameters of a chat request that may be passed to an
// engine. None of them adds prompt tokens beyond the bytes of the request, or choices
// beyond n.
var admittedParameters = map[string]bool{
	"messages": true, "model": true, "stream": true, "stream_options": true,
	"max_tokens": true, "max_completion_tokens": true, "n": true,
	"temperature": true, "top_p": true, "top_k": true, "min_p": true,
	"frequency_penalty": true, "presence_penalty": true, "repetition_penalty": true,
	"stop": true, "stop_token_ids": true, "seed": true, "user": true,
	"logprobs": true, "top_logprobs": true, "logit_bias": true,
	"response_format": true, "tools": true, "tool_choice": true,
	"functions": true, "function_call": true, "parallel_tool_calls": true,
	"metadata": true, "store": true, "service_tier": true,
	"reasoning_effort": true, "min_tokens": true, "ignore_eos": true,
	"skip_special_tokens": true, "prompt_cache_key": true, "safety_identifier": true,
}

// admittedMembers lists the members that a message may have.
var admittedMembers = map[string]bool{
	"role": true, "content": true, "name": true, "tool_calls": true,
	"tool_call_id": true, "function_call": true, "refusal": true,
	"reasoning_content": true,
}

// admittedPartMembers lists the members that a part of a message's content has.
var admittedPartMembers = map[string]bool{"type": true, "text": true}
