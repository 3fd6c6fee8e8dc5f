"""Soak of real entry processes under drawn faults that overlap, judged by what others see."""
