"""Admission control: queues and refusals of requests without a slot."""
